package org.snipewind.router.lead;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.port.StoreItemParser;

/** A parser that recognises no item of the store, so that a fleet has no configuration and no targets. */
public final class EmptyStoreItemParser implements StoreItemParser {

    @Override
    public Optional<Kind> kindOf(String key) {
        return Optional.empty();
    }

    @Override
    public String entityIdOf(String key) {
        return key;
    }

    @Override
    public Either<String, RoutingConfiguration> parseConfiguration(byte[] content) {
        return Either.left("there is none");
    }

    @Override
    public Either<String, TargetRegistration> parseTarget(String id, byte[] content) {
        return Either.left("there is none");
    }
}
