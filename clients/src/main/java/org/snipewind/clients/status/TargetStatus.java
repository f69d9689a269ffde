package org.snipewind.clients.status;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * A target as its supervisor sees it.
 *
 * @param name name of the target
 * @param pool name of its pool
 * @param condition condition of the target, such as {@code LIVE}, {@code LOST} or {@code DRAINING}
 * @param inFlight requests that the target runs
 * @param queued requests that wait for the target
 * @param limit requests that it may run at a time now
 * @param latencyMicros usual latency in microseconds
 * @param token fencing token of the supervisor
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record TargetStatus(
        String name,
        String pool,
        String condition,
        int inFlight,
        int queued,
        int limit,
        long latencyMicros,
        long token) {}
