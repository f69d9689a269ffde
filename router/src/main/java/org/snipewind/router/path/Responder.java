package org.snipewind.router.path;

import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.http.BufferedResponse;

/** Receives the single response to a caller's request, on the event loop of the caller's connection. */
interface Responder {

    /** Forwards the response of a target to the caller. */
    void respond(BufferedResponse response);

    /**
     * Returns whether the caller is still connected, even if its event loop has not processed the disconnection yet.
     */
    boolean isCallerPresent();

    /** Sends a refusal by the router itself. */
    void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis);
}
