package org.snipewind.router.path;

import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.HeaderCodec;
import org.snipewind.router.state.FleetTracker;

/**
 * Dependencies that all workers share.
 *
 * @param tracker source of the fleet view
 * @param sharedState retry budgets, cold-start rate limits and load counts
 * @param rateLimiter enforces the rate limits of organisations
 * @param requestMemory memory for the bodies of callers' requests
 * @param clients what else the connections of callers may take
 * @param responseMemory memory for the responses of targets
 * @param headerCodec reads and writes the headers of requests and responses
 * @param clock clock for deadlines
 * @param metrics counters, gauges and timers
 * @param log event log
 * @param dataCentre data centre of this instance
 * @param linkMegabits bandwidth of this instance's network link, in Mbit/s
 */
public record RoutingContext(
        FleetTracker tracker,
        SharedRoutingState sharedState,
        OrganisationRateLimiter rateLimiter,
        BufferMemory requestMemory,
        ClientResources clients,
        BufferMemory responseMemory,
        HeaderCodec headerCodec,
        MillisClock clock,
        ProcessMetrics metrics,
        RouterEventLog log,
        String dataCentre,
        double linkMegabits) {}
