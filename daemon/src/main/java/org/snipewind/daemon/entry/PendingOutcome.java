package org.snipewind.daemon.entry;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.Refusal;

/**
 * The outcome of a request to come.
 *
 * @param result completes with the whole answer or a refusal and never fails
 * @param cancellation cancels the request wherever it is
 */
public record PendingOutcome(CompletableFuture<Either<Refusal, TargetAnswer>> result, Runnable cancellation) {

    static PendingOutcome refused(Refusal refusal) {
        return new PendingOutcome(CompletableFuture.completedFuture(Either.left(refusal)), () -> {});
    }
}
