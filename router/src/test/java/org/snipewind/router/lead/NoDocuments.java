package org.snipewind.router.lead;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.port.DocumentReader;

/** Finds no item of operators or targets in the store. */
public final class NoDocuments implements DocumentReader {

    @Override
    public Optional<Kind> kindOf(String key) {
        return Optional.empty();
    }

    @Override
    public String subjectOf(String key) {
        return key;
    }

    @Override
    public Either<String, RoutingConfiguration> configuration(byte[] content) {
        return Either.left("there is none");
    }

    @Override
    public Either<String, TargetRegistration> target(String id, byte[] content) {
        return Either.left("there is none");
    }
}
