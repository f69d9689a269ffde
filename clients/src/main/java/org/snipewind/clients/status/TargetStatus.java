package org.snipewind.clients.status;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Status of a target as its supervisor sees it.
 *
 * @param name name of the target
 * @param pool name of its pool
 * @param condition condition of the target, such as {@code LIVE}, {@code LOST} or {@code DRAINING}
 * @param inFlight number of requests that the target is processing
 * @param queued number of requests that wait for the target
 * @param limit current limit of concurrent requests
 * @param latencyMicros average latency of recent requests in microseconds
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
