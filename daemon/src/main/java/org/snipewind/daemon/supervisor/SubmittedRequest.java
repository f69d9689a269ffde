package org.snipewind.daemon.supervisor;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.protocol.ForwardRequest;

/**
 * A request submitted to the supervisor of its target.
 *
 * @param request the request
 * @param deadlineMillis deadline as a time on this daemon's clock
 * @param urgent whether the route is urgent
 * @param result completes with the target's whole response or a refusal
 */
record SubmittedRequest(
        ForwardRequest request,
        long deadlineMillis,
        boolean urgent,
        CompletableFuture<Either<Refusal, TargetResponse>> result) {

    void refuse(Refusal refusal) {
        result.complete(Either.left(refusal));
    }
}
