package org.snipewind.router.port;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;

/** Reads what operators and targets write into the store; problems are texts that name the field. */
public interface StoreItemParser {

    /**
     * Tells what an item holds.
     *
     * @param key key of the item
     * @return the kind, empty for an item that means nothing to the router
     */
    Optional<Kind> kindOf(String key);

    /**
     * Gives the part of a key that names what the item is about.
     *
     * @param key key of the item
     * @return id of a target or name of a data centre
     */
    String entityIdOf(String key);

    /**
     * Reads the operators' configuration.
     *
     * @param value bytes of the item
     * @return the configuration, or what is wrong with it
     */
    Either<String, RoutingConfiguration> parseConfiguration(byte[] value);

    /**
     * Reads the entry of a target.
     *
     * @param id id of the target
     * @param value bytes of the item
     * @return the entry, or what is wrong with it
     */
    Either<String, TargetRegistration> parseTarget(String id, byte[] value);

    /** Kinds of items. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** What a target says of itself. */
        TARGET,
        /** The wish that a data centre gets no more work. */
        EVACUATION
    }
}
