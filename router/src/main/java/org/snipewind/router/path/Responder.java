package org.snipewind.router.path;

import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.router.http.BufferedResponse;

/** Takes the one answer to a request, on the loop of the caller's connection. */
interface Responder {

    /** Passes the answer of a target on. */
    void deliver(BufferedResponse answer);

    /** Looks whether the caller has left, also if its loop has not come round to notice that. */
    boolean isCallerPresent();

    /** Answers for the router itself. */
    void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis);
}
