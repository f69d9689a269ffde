package org.snipewind.daemon.supervisor;

import io.vavr.control.Either;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.protocol.ForwardRequest;

/** Decides, immediately before a request is sent, whether it may go to the target. */
@FunctionalInterface
interface SendPermission {

    /**
     * Checks a request.
     *
     * @param request the request
     * @return the fencing token to send with the request, or the refusal if it must not be sent
     */
    Either<Refusal, Long> check(ForwardRequest request);
}
