package org.snipewind.clients.target;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.error.Refusal;

/** Client of one target, used by the supervisor of the target. */
public interface TargetClient extends AutoCloseable {

    /**
     * Sends a grant request.
     *
     * @param request the grant request
     * @return the acknowledgement; fails if the target does not respond, with {@code java.net.ConnectException} in the
     *     chain of causes if the connection was refused
     */
    CompletableFuture<GrantAcknowledgement> grant(GrantRequest request);

    /**
     * Sends a request once, without retries.
     *
     * @param request the request
     * @return the complete response, or a refusal that states whether the request ran; the future itself never fails
     */
    CompletableFuture<Either<Refusal, TargetResponse>> send(TargetRequest request);

    /**
     * Asks the target to cancel a request; the target may be unable to.
     *
     * @param requestId id of the request
     */
    void cancel(String requestId);

    @Override
    void close();
}
