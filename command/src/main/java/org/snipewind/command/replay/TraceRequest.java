package org.snipewind.command.replay;

import io.micronaut.serde.annotation.Serdeable;

/**
 * One request of a trace; a trace file holds one as JSON on each line.
 *
 * @param timeMillis intended time of sending in milliseconds from the start
 * @param organisation name of the organisation, empty on a route open to all
 * @param route path prefix of the route
 * @param key key of the request, which becomes the path segment after the route
 * @param entry number of the entry instance that receives the request, counted from 0
 * @param serviceMillis time that the target takes
 * @param idempotent whether it may run more than once; others are sent by POST
 * @param urgent whether it is on an urgent route
 * @param deadlineMillis time from the intended sending until the answer is useless, 0 for the default
 */
@Serdeable
public record TraceRequest(
        long timeMillis,
        String organisation,
        String route,
        String key,
        int entry,
        long serviceMillis,
        boolean idempotent,
        boolean urgent,
        long deadlineMillis) {

    private static final long DEFAULT_DEADLINE_MILLIS = 5_000;

    /** Replaces absent values. */
    public TraceRequest {
        organisation = organisation == null ? "" : organisation;
        key = key == null ? "" : key;
        deadlineMillis = deadlineMillis == 0 ? DEFAULT_DEADLINE_MILLIS : deadlineMillis;
    }
}
