package org.snipewind.daemon.supervisor;

import io.vavr.control.Either;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.protocol.ForwardRequest;

/** Decides at the last moment before a send whether a request may go to the target. */
@FunctionalInterface
interface SendPermission {

    /**
     * Checks a request.
     *
     * @param request the request
     * @return the fencing token to send, or the reason why the request must not be sent
     */
    Either<Refusal, Long> check(ForwardRequest request);
}
