package org.snipewind.router.path;

import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.RouterMetrics;
import org.snipewind.router.port.HeaderCodec;
import org.snipewind.router.state.FleetTracker;

/**
 * What all workers share.
 *
 * @param tracker the view of the fleet
 * @param sharedState limits and counts
 * @param rateLimiter admits requests within the organisations' rates
 * @param headerCodec headers of requests and answers
 * @param clock the clock of deadlines
 * @param metrics counters and times
 * @param log the log
 * @param dataCentre data centre of this instance
 */
public record RoutingContext(
        FleetTracker tracker,
        SharedRoutingState sharedState,
        OrganisationRateLimiter rateLimiter,
        HeaderCodec headerCodec,
        MillisClock clock,
        RouterMetrics metrics,
        RouterEventLog log,
        String dataCentre) {}
