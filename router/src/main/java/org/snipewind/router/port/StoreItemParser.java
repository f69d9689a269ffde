package org.snipewind.router.port;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.coordination.rollout.RolloutOrder;
import org.snipewind.coordination.rollout.RolloutPhase;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;

/** Parses the store items that operators and targets write; error messages name the invalid field. */
public interface StoreItemParser {

    /**
     * Returns the kind of an item.
     *
     * @param key key of the item
     * @return the kind, empty for an item that the router does not use
     */
    Optional<Kind> kindOf(String key);

    /**
     * Returns the part of an item's key that identifies the entity that the item describes.
     *
     * @param key key of the item
     * @return id of a target, or name of a data centre or of a pool
     */
    String entityIdOf(String key);

    /**
     * Parses the operators' configuration.
     *
     * @param value bytes of the item
     * @return the configuration, or an error message
     */
    Either<String, RoutingConfiguration> parseConfiguration(byte[] value);

    /**
     * Parses the registration of a target.
     *
     * @param id id of the target
     * @param value bytes of the item
     * @return the registration, or an error message
     */
    Either<String, TargetRegistration> parseTarget(String id, byte[] value);

    /**
     * Parses an order of a roll-out.
     *
     * @param pool name of the pool
     * @param revision revision of the item
     * @param value bytes of the item
     * @return the order, or an error message
     */
    default Either<String, RolloutOrder> parseRolloutOrder(String pool, long revision, byte[] value) {
        return Either.left("roll-outs are not supported");
    }

    /**
     * Returns the key of the item that tells the platform the status of a roll-out.
     *
     * @param pool name of the pool
     * @return the key
     */
    default String rolloutStatusKey(String pool) {
        throw new UnsupportedOperationException("roll-outs are not supported");
    }

    /**
     * Writes the status of a roll-out for the platform.
     *
     * @param phase phase of the roll-out
     * @param version version that is introduced
     * @return bytes of the item
     */
    default byte[] rolloutStatus(RolloutPhase phase, String version) {
        throw new UnsupportedOperationException("roll-outs are not supported");
    }

    /** Kinds of store items. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** The registration of a target. */
        TARGET,
        /** An operator's instruction to send no more requests to a data centre. */
        EVACUATION,
        /** An operator's order to move a pool to another version of its targets. */
        ROLLOUT_ORDER
    }
}
