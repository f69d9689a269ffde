package org.snipewind.router.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.port.GrantEpoch;
import org.snipewind.router.port.KeyOwnershipClient;

/** Targets that never respond. */
final class UnresponsiveTargets implements KeyOwnershipClient {
    @Override
    public CompletableFuture<Boolean> grant(
            TargetRegistration target,
            KeyAssignment range,
            GrantEpoch epoch,
            long grantLifetimeMillis,
            Optional<String> handover) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Boolean> probe(TargetRegistration target, String healthPath) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Optional<String>> release(TargetRegistration target, KeyAssignment range) {
        return new CompletableFuture<>();
    }
}
