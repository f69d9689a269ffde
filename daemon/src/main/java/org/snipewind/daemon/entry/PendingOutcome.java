package org.snipewind.daemon.entry;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.Refusal;

/**
 * The future outcome of a request.
 *
 * @param result completes with the complete response of the target or with a refusal; never fails
 * @param cancellation cancels the request, whether it is waiting or in flight
 */
public record PendingOutcome(CompletableFuture<Either<Refusal, TargetResponse>> result, Runnable cancellation) {

    static PendingOutcome refused(Refusal refusal) {
        return new PendingOutcome(CompletableFuture.completedFuture(Either.left(refusal)), () -> {});
    }
}
