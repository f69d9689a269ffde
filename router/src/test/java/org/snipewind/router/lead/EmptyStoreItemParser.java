package org.snipewind.router.lead;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.port.StoreItemParser;

/** Finds no item of operators or targets in the store. */
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
