package org.snipewind.daemon;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.entry.TokenIssuers;
import org.snipewind.daemon.fleet.FailureMonitor;
import org.snipewind.daemon.fleet.LeaseRenewer;
import org.snipewind.daemon.fleet.PoolCoordinator;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordDistributor;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.CancelRequest;
import org.snipewind.protocol.ExpiryQuery;
import org.snipewind.protocol.ForwardAnswer;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.Heartbeat;
import org.snipewind.protocol.LoadAnswer;
import org.snipewind.protocol.LoadProbe;
import org.snipewind.protocol.PeerHandler;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.RecordFetch;
import org.snipewind.protocol.RecordPush;
import org.snipewind.protocol.TargetReport;

/** Hands the messages of peers to the parts of the daemon. */
final class PeerDispatcher implements PeerHandler {

    private final RecordCache records;
    private final RecordDistributor distributor;
    private final LeaseRenewer leases;
    private final FailureMonitor failures;
    private final PoolCoordinator coordinator;
    private final SupervisorRegistry supervisors;
    private final TokenIssuers keepers;

    PeerDispatcher(
            RecordCache records,
            RecordDistributor distributor,
            LeaseRenewer leases,
            FailureMonitor failures,
            PoolCoordinator coordinator,
            SupervisorRegistry supervisors,
            TokenIssuers keepers) {
        this.records = records;
        this.distributor = distributor;
        this.leases = leases;
        this.failures = failures;
        this.coordinator = coordinator;
        this.supervisors = supervisors;
        this.keepers = keepers;
    }

    @Override
    public CompletionStage<Optional<PeerMessage>> handle(String senderId, PeerMessage message) {
        if (message instanceof ForwardRequest request) {
            return supervisors.submit(request).thenApply(outcome -> Optional.of(answer(request, outcome)));
        }
        return CompletableFuture.completedFuture(handleAtOnce(senderId, message));
    }

    private Optional<PeerMessage> handleAtOnce(String senderId, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            return Optional.of(leases.handleHeartbeat(senderId, heartbeat));
        }
        if (message instanceof BudgetRequest request) {
            return Optional.of(keepers.issue(request));
        }
        if (message instanceof LoadProbe probe) {
            return Optional.of(supervisors
                    .load(probe.target())
                    .orElseGet(() -> new LoadAnswer(probe.target(), false, 0, 0, 1, 0)));
        }
        if (message instanceof ExpiryQuery query) {
            return Optional.of(failures.handleExpiryQuery(query));
        }
        if (message instanceof RecordFetch fetch) {
            return Optional.of(distributor.handleFetch(fetch));
        }
        if (message instanceof TargetReport report) {
            return Optional.of(coordinator.handleTargetReport(senderId, report));
        }
        if (message instanceof RecordPush push) {
            records.putIfNewer(push.name(), push.content());
        } else if (message instanceof CancelRequest cancel) {
            supervisors.cancel(cancel.requestId());
        }
        return Optional.empty();
    }

    private static PeerMessage answer(ForwardRequest request, Either<Refusal, TargetAnswer> outcome) {
        if (outcome.isLeft()) {
            return refused(request, outcome.getLeft());
        }
        TargetAnswer answer = outcome.get();
        return new ForwardAnswer(
                request.requestId(), Optional.empty(), answer.status(), answer.headers(), answer.body());
    }

    private static PeerMessage refused(ForwardRequest request, Refusal refusal) {
        // The entry daemon is told nothing about the inside of this one.
        Refusal told = refusal.kind() == ErrorKind.INTERNAL
                ? Refusal.of(ErrorKind.INTERNAL, "the supervisor failed")
                : refusal;
        return new ForwardAnswer(request.requestId(), Optional.of(told), 0, Map.of(), new byte[0]);
    }
}
