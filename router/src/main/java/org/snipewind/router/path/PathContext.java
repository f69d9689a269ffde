package org.snipewind.router.path;

import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.log.DecisionLog;
import org.snipewind.router.metrics.DaemonMetrics;
import org.snipewind.router.port.RequestDialect;
import org.snipewind.router.state.FleetTracker;

/**
 * What all workers share.
 *
 * @param tracker the view of the fleet
 * @param tables limits and counts
 * @param rates admits requests within the organisations' rates
 * @param dialect headers of requests and answers
 * @param clock the clock of deadlines
 * @param metrics counters and times
 * @param log the log
 * @param dataCentre data centre of this instance
 */
public record PathContext(
        FleetTracker tracker,
        SharedTables tables,
        RateDesk rates,
        RequestDialect dialect,
        MillisClock clock,
        DaemonMetrics metrics,
        DecisionLog log,
        String dataCentre) {}
