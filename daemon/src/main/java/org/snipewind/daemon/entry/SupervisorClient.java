package org.snipewind.daemon.entry;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.FailureCauses;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.CancelRequest;
import org.snipewind.protocol.ForwardAnswer;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.PeerException;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.router.metrics.ProcessMetrics;

/** Sends requests to the supervisors of their targets, either in this process or over a peer connection. */
final class SupervisorClient {

    // The supervisor ends a request at its deadline, and its response takes a little longer to arrive.
    private static final long RESPONSE_MARGIN_MILLIS = 50;

    private final String memberId;
    private final SupervisorRegistry supervisors;
    private final PeerConnections peers;
    private final SupervisorHealth health;
    private final ProcessMetrics metrics;

    SupervisorClient(
            String memberId,
            SupervisorRegistry supervisors,
            PeerConnections peers,
            SupervisorHealth health,
            ProcessMetrics metrics) {
        this.memberId = memberId;
        this.supervisors = supervisors;
        this.peers = peers;
        this.health = health;
        this.metrics = metrics;
    }

    /** Makes one attempt of a request; the future never fails. */
    CompletableFuture<Either<Refusal, TargetResponse>> send(ForwardRequest request, Destination destination) {
        if (destination.supervisor().id().equals(memberId)) {
            metrics.count("entry.local-requests");
            return supervisors.submit(request);
        }
        String address = destination.supervisor().peerAddress();
        if (!health.isResponsive(address)) {
            metrics.count("entry.silent-supervisors");
            return CompletableFuture.completedFuture(
                    Either.left(Refusal.of(ErrorKind.OWNER_UNREACHABLE, "the supervisor does not answer")));
        }
        metrics.count("entry.forwarded-requests");
        return peers.call(address, request, request.remainingMillis() + RESPONSE_MARGIN_MILLIS)
                .handle((response, failure) -> toOutcome(request, address, response, failure));
    }

    void cancel(String requestId, Destination destination) {
        if (destination.supervisor().id().equals(memberId)) {
            supervisors.cancel(requestId);
        } else {
            peers.send(destination.supervisor().peerAddress(), new CancelRequest(requestId));
        }
    }

    private Either<Refusal, TargetResponse> toOutcome(
            ForwardRequest request, String address, PeerMessage response, Throwable failure) {
        if (failure != null) {
            return Either.left(toRefusal(request, address, failure));
        }
        health.recordResponse(address);
        if (response instanceof ForwardAnswer forwarded && forwarded.requestId().equals(request.requestId())) {
            return forwarded.refusal().isPresent()
                    ? Either.left(forwarded.refusal().get())
                    : Either.right(new TargetResponse(forwarded.status(), forwarded.headers(), forwarded.body()));
        }
        metrics.count("entry.crossed-answers");
        return Either.left(Refusal.of(ErrorKind.SUPERVISOR_LOST, "the supervisor sent an answer to another request"));
    }

    private Refusal toRefusal(ForwardRequest request, String address, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PeerException peer && !peer.isPossiblySent()) {
            return Refusal.of(ErrorKind.OWNER_UNREACHABLE, "the supervisor can't be reached");
        }
        if (FailureCauses.contain(failure, TimeoutException.class)) {
            peers.send(address, new CancelRequest(request.requestId()));
            return Refusal.of(ErrorKind.DEADLINE_AFTER_SEND, "no answer before the deadline");
        }
        return Refusal.of(ErrorKind.SUPERVISOR_LOST, "the connection to the supervisor was lost");
    }
}
