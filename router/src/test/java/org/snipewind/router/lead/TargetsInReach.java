package org.snipewind.router.lead;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.port.GrantEpoch;
import org.snipewind.router.port.KeyOwnershipClient;

/** The way of one instance to its targets, some of which it does not reach. */
final class TargetsInReach implements KeyOwnershipClient {

    private final KeyOwnershipClient targets;
    private final Set<String> cut = new HashSet<>();

    TargetsInReach(KeyOwnershipClient targets) {
        this.targets = targets;
    }

    void setCut(String target) {
        cut.add(target);
    }

    private <T> CompletableFuture<T> unlessCut(TargetRegistration target, Supplier<CompletableFuture<T>> request) {
        return cut.contains(target.id())
                ? CompletableFuture.failedFuture(new ExchangeException("no connection to " + target.id(), false))
                : request.get();
    }

    @Override
    public CompletableFuture<Boolean> grant(
            TargetRegistration target,
            KeyAssignment range,
            GrantEpoch epoch,
            long grantLifetimeMillis,
            Optional<String> handover) {
        return unlessCut(target, () -> targets.grant(target, range, epoch, grantLifetimeMillis, handover));
    }

    @Override
    public CompletableFuture<Boolean> probe(TargetRegistration target, String healthPath) {
        return unlessCut(target, () -> targets.probe(target, healthPath));
    }

    @Override
    public CompletableFuture<Optional<String>> release(TargetRegistration target, KeyAssignment range) {
        return unlessCut(target, () -> targets.release(target, range));
    }
}
