package org.snipewind.clients.target;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.error.Refusal;

/** One target as seen by its supervisor. */
public interface TargetEndpoint extends AutoCloseable {

    /**
     * Sends a grant order.
     *
     * @param order the order
     * @return the acknowledgement; fails if the target does not answer, with {@code java.net.ConnectException} as a
     *     cause if the connection was refused
     */
    CompletableFuture<GrantAcknowledgement> grant(GrantOrder order);

    /**
     * Sends a request once; it is never repeated by the transport.
     *
     * @param request the request
     * @return the whole answer or the refusal with its certain execution state; the future itself never fails
     */
    CompletableFuture<Either<Refusal, TargetAnswer>> send(TargetRequest request);

    /**
     * Asks the target to stop a request, as far as it can.
     *
     * @param requestId id of the request
     */
    void cancel(String requestId);

    @Override
    void close();
}
