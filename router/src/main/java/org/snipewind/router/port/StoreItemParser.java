package org.snipewind.router.port;

import io.vavr.control.Either;
import java.util.Optional;
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
     * @return id of a target or name of a data centre
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

    /** Kinds of store items. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** The registration of a target. */
        TARGET,
        /** An operator's instruction to send no more requests to a data centre. */
        EVACUATION
    }
}
