package org.snipewind.daemon;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.snipewind.clients.target.TargetResponse;
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

/** Dispatches the messages of peers to the components that handle them. */
final class PeerDispatcher implements PeerHandler {

    private final RecordCache records;
    private final RecordDistributor distributor;
    private final LeaseRenewer leaseRenewer;
    private final FailureMonitor failureMonitor;
    private final PoolCoordinator coordinator;
    private final SupervisorRegistry supervisors;
    private final TokenIssuers tokenIssuers;

    PeerDispatcher(
            RecordCache records,
            RecordDistributor distributor,
            LeaseRenewer leaseRenewer,
            FailureMonitor failureMonitor,
            PoolCoordinator coordinator,
            SupervisorRegistry supervisors,
            TokenIssuers tokenIssuers) {
        this.records = records;
        this.distributor = distributor;
        this.leaseRenewer = leaseRenewer;
        this.failureMonitor = failureMonitor;
        this.coordinator = coordinator;
        this.supervisors = supervisors;
        this.tokenIssuers = tokenIssuers;
    }

    @Override
    public CompletionStage<Optional<PeerMessage>> handle(String senderId, PeerMessage message) {
        if (message instanceof ForwardRequest request) {
            return supervisors.submit(request).thenApply(outcome -> Optional.of(toAnswer(request, outcome)));
        }
        return CompletableFuture.completedFuture(handleSynchronously(senderId, message));
    }

    private Optional<PeerMessage> handleSynchronously(String senderId, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            return Optional.of(leaseRenewer.handleHeartbeat(senderId, heartbeat));
        }
        if (message instanceof BudgetRequest request) {
            return Optional.of(tokenIssuers.issue(request));
        }
        if (message instanceof LoadProbe probe) {
            return Optional.of(supervisors
                    .load(probe.target())
                    .orElseGet(() -> new LoadAnswer(probe.target(), false, 0, 0, 1, 0)));
        }
        if (message instanceof ExpiryQuery query) {
            return Optional.of(failureMonitor.handleExpiryQuery(query));
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

    private static PeerMessage toAnswer(ForwardRequest request, Either<Refusal, TargetResponse> outcome) {
        if (outcome.isLeft()) {
            return toRefusedAnswer(request, outcome.getLeft());
        }
        TargetResponse response = outcome.get();
        return new ForwardAnswer(
                request.requestId(), Optional.empty(), response.status(), response.headers(), response.body());
    }

    private static PeerMessage toRefusedAnswer(ForwardRequest request, Refusal refusal) {
        // The detail of an internal error is not sent to the entry daemon.
        Refusal reported = refusal.kind() == ErrorKind.INTERNAL
                ? Refusal.of(ErrorKind.INTERNAL, "the supervisor failed")
                : refusal;
        return new ForwardAnswer(request.requestId(), Optional.of(reported), 0, Map.of(), new byte[0]);
    }
}
