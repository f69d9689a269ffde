package org.snipewind.command.replay;

import io.micronaut.serde.annotation.Serdeable;

/**
 * One request of a trace. A trace file holds one request as JSON on each line.
 *
 * @param timeMillis intended send time in milliseconds from the start of the replay
 * @param organisation name of the organisation, or empty on a route that needs no access key
 * @param route path prefix of the route
 * @param key key of the request, which becomes the path segment after the route
 * @param entry number of the entry instance that receives the request, counted from 0
 * @param serviceMillis time for which the target processes the request
 * @param idempotent whether it may run more than once; such requests are sent with GET, others with POST
 * @param urgent whether it is on an urgent route
 * @param deadlineMillis time from the intended send time after which a response is of no use, 0 for the default
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

    /** Replaces absent values by their defaults. */
    public TraceRequest {
        organisation = organisation == null ? "" : organisation;
        key = key == null ? "" : key;
        deadlineMillis = deadlineMillis == 0 ? DEFAULT_DEADLINE_MILLIS : deadlineMillis;
    }
}
