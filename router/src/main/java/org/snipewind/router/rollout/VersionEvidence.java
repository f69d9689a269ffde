package org.snipewind.router.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.rollout.RolloutOrder;
import org.snipewind.coordination.rollout.VersionTally;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.PoolRollout;

/**
 * What this instance observes of the versions of pools with an order, as totals since that order. Any thread may record
 * observations.
 */
public final class VersionEvidence {

    /** Time for which responses of a target that this instance has just learnt of are not timed: it may be cold. */
    private static final long MAX_WARM_UP_MILLIS = 5_500;

    /** Limit on that time as a fraction of the ordered duration, so that a short roll-out has samples too. */
    private static final double WARM_UP_FRACTION = 0.4;

    /** Fraction of the latency objective from which the time of an attempt without response counts. */
    private static final double CENSORED_FRACTION = 0.5;

    /** Versions of all pools for which metrics are kept; names of versions come from outside. */
    private static final int MAX_METERED_VERSIONS = 64;

    /** Requests that a target loses within this time are lost together, with its process or its network. */
    private static final long LOSS_MILLIS = 100;

    private record VersionRoute(String version, String route) {}

    /** Totals of a pool since an order. */
    private record PoolTotals(long orderRevision, Map<VersionRoute, VersionTally> tallies) {}

    private final FleetTracker tracker;
    private final MillisClock clock;
    private final Map<String, PoolTotals> pools = new ConcurrentHashMap<>();
    private final Map<String, Long> firstSeenMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> lastLossMillis = new ConcurrentHashMap<>();
    private final Map<String, VersionMetrics> metered = new ConcurrentHashMap<>();
    private volatile Optional<ProcessMetrics> metrics = Optional.empty();

    VersionEvidence(FleetTracker tracker, MillisClock clock) {
        this.tracker = tracker;
        this.clock = clock;
    }

    void setMetrics(ProcessMetrics target) {
        metrics = Optional.of(target);
    }

    /** Starts the totals of new orders, and forgets those of orders that are gone; called on the control loop. */
    public void onViewChanged() {
        FleetView view = tracker.view();
        pools.keySet().removeIf(pool -> orderOf(view, pool).isEmpty());
        view.rollouts()
                .forEach((pool, rollout) -> rollout.order().ifPresent(order -> {
                    PoolTotals totals = pools.get(pool);
                    if (totals == null || totals.orderRevision() != order.revision()) {
                        pools.put(pool, new PoolTotals(order.revision(), new ConcurrentHashMap<>()));
                    }
                }));
        firstSeenMillis
                .keySet()
                .removeIf(incarnation -> view.findRegistered(incarnation).isEmpty());
        lastLossMillis.keySet().retainAll(firstSeenMillis.keySet());
        view.targets().values().forEach(target -> {
            if (pools.containsKey(target.registration().pool())) {
                firstSeenMillis.putIfAbsent(target.incarnation(), clock.nowMillis());
            }
        });
    }

    private static Optional<RolloutOrder> orderOf(FleetView view, String pool) {
        return Optional.ofNullable(view.rollouts().get(pool)).flatMap(PoolRollout::order);
    }

    /**
     * Records a response that is no failure.
     *
     * @param target the target that sent it
     * @param route name of the route
     * @param serviceMillis time for which the request occupied a slot of the target
     */
    public void recordResponse(TargetState target, String route, double serviceMillis) {
        boolean timed = isWarm(target);
        add(target, route, new VersionTally(1, 0, timed ? 1 : 0, timed ? serviceMillis : 0));
        meter(target).ifPresent(each -> each.recordResponse(serviceMillis));
    }

    /**
     * Records a failure: an error response, a broken one, or none.
     *
     * @param target the target that got the request
     * @param route name of the route
     */
    public void recordFailure(TargetState target, String route) {
        add(target, route, new VersionTally(1, 1, 0, 0));
        meter(target).ifPresent(VersionMetrics::recordFailure);
    }

    /**
     * Records a request whose connection broke before the whole response was received. Of several that a target loses
     * at once, one counts.
     *
     * @param target the target that got the request
     * @param route name of the route
     */
    public void recordLoss(TargetState target, String route) {
        long now = clock.nowMillis();
        Long previous = lastLossMillis.put(target.incarnation(), now);
        if (previous == null || now - previous >= LOSS_MILLIS) {
            recordFailure(target, route);
        }
    }

    /**
     * Records an attempt that was ended before its response had arrived.
     *
     * @param target the target that got the request
     * @param route the route
     * @param elapsedMillis time since the request was sent
     */
    public void recordAborted(TargetState target, Route route, double elapsedMillis) {
        if (elapsedMillis >= route.latencyObjectiveMillis()) {
            recordFailure(target, route.name());
        } else if (elapsedMillis >= route.latencyObjectiveMillis() * CENSORED_FRACTION) {
            // The response would have taken longer; without this sample, hedges would hide a slow version.
            recordResponse(target, route.name(), elapsedMillis);
        }
    }

    private void add(TargetState target, String route, VersionTally tally) {
        TargetRegistration registration = target.registration();
        PoolTotals totals = pools.get(registration.pool());
        if (totals != null) {
            totals.tallies().merge(new VersionRoute(registration.version(), route), tally, VersionTally::plus);
        }
    }

    private boolean isWarm(TargetState target) {
        long now = clock.nowMillis();
        Long seenMillis = firstSeenMillis.get(target.incarnation());
        if (seenMillis == null || target.isColdStarting(now)) {
            return false;
        }
        long durationMillis = orderOf(tracker.view(), target.registration().pool())
                .map(RolloutOrder::durationMillis)
                .orElse(Long.MAX_VALUE);
        return now - seenMillis >= Math.min(MAX_WARM_UP_MILLIS, durationMillis * WARM_UP_FRACTION);
    }

    private Optional<VersionMetrics> meter(TargetState target) {
        TargetRegistration registration = target.registration();
        String name = "versions." + registration.pool() + "." + registration.version();
        VersionMetrics known = metered.get(name);
        if (known != null || metrics.isEmpty() || metered.size() >= MAX_METERED_VERSIONS) {
            return Optional.ofNullable(known);
        }
        return Optional.of(metered.computeIfAbsent(name, key -> new VersionMetrics(key, metrics.get())));
    }

    /**
     * Returns the totals of all pools with an order; called on the control loop.
     *
     * @return the report, without pools if there is no order
     */
    public RolloutReport report() {
        FleetView view = tracker.view();
        List<RolloutReport.PoolReport> reports = new ArrayList<>();
        pools.forEach((pool, totals) -> orderOf(view, pool)
                .ifPresent(order -> reports.add(new RolloutReport.PoolReport(
                        pool,
                        totals.orderRevision(),
                        view.rollouts().get(pool).recordRevision(),
                        othersInFlight(view, pool, order.version()),
                        routeCounts(totals)))));
        return new RolloutReport(reports);
    }

    private static int othersInFlight(FleetView view, String pool, String version) {
        return view.targets().values().stream()
                .filter(target -> target.registration().pool().equals(pool)
                        && !target.registration().version().equals(version))
                .mapToInt(TargetState::inFlight)
                .sum();
    }

    private static List<RolloutReport.RouteCount> routeCounts(PoolTotals totals) {
        return totals.tallies().entrySet().stream()
                .map(entry -> new RolloutReport.RouteCount(
                        entry.getKey().version(),
                        entry.getKey().route(),
                        entry.getValue().requests(),
                        entry.getValue().bad(),
                        entry.getValue().timed(),
                        entry.getValue().serviceMillis()))
                .toList();
    }
}
