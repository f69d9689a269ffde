package org.snipewind.router.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.ColdStartRateLimiter;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.coordination.target.WindowedRetryBudget;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;

/**
 * The tables that all workers share: repeat budgets, cold paces and what the next report says. Each
 * entry has its own lock; no lock is taken while another one is held.
 */
public final class SharedRoutingState {

    /** Part of the repeat budget that is used, since instances see different parts of a window. */
    private static final double REPEAT_MARGIN = 0.75;

    /** Reports name at most this many keys; the load of a hot run shows in a part of its requests too. */
    private static final int MAX_REPORTED_KEYS = 400;

    private final FleetTracker tracker;
    private final MillisClock clock;
    private volatile RouterLimits limits;
    private final String self;
    private final Map<String, WindowedRetryBudget> repeats = new ConcurrentHashMap<>();
    private final Map<String, ColdStartRateLimiter> paces = new ConcurrentHashMap<>();
    private final Map<String, Map<Integer, Integer>> keyCounts = new HashMap<>();
    private final Map<String, double[]> timings = new HashMap<>();

    /**
     * Creates empty tables.
     *
     * @param tracker the view of the fleet
     * @param clock the clock of the limits
     * @param limits limits over all instances
     * @param self name of this instance
     */
    public SharedRoutingState(FleetTracker tracker, MillisClock clock, RouterLimits limits, String self) {
        this.tracker = tracker;
        this.clock = clock;
        this.limits = limits;
        this.self = self;
    }

    /**
     * Sets the limits over all instances; budgets that exist keep their window.
     *
     * @param changed the limits
     */
    public void setLimits(RouterLimits changed) {
        limits = changed;
    }

    /** Takes a changed view into account; called on the control loop. */
    public void viewChanged() {
        FleetView view = tracker.view();
        paces.keySet()
                .removeIf(life -> view.findInService(life).filter(this::isCold).isEmpty());
    }

    private boolean isCold(TargetState state) {
        return state.isColdStarting(clock.nowMillis());
    }

    void countFirst(String pool) {
        budget(pool).recordFirstAttempt();
    }

    boolean tryRepeat(String pool) {
        return budget(pool)
                .tryAcquire(limits.repeatAllowance()
                        * REPEAT_MARGIN
                        / tracker.view().fleetSize());
    }

    private WindowedRetryBudget budget(String pool) {
        return repeats.computeIfAbsent(
                pool,
                name -> new WindowedRetryBudget(
                        clock, limits.repeatWindowMillis(), limits.repeatRatio() * REPEAT_MARGIN));
    }

    /** Gives this instance's pace for a target in cold start. */
    ColdStartRateLimiter pace(Pool pool, TargetState target) {
        return paces.computeIfAbsent(target.registration().incarnation(), life -> {
            FleetView view = tracker.view();
            int sharers =
                    (int) ((limits.coldFactor() - 1) * pool.coldStartRatePerSecond() + limits.coldAllowance()) - 1;
            return ColdStartRateLimiter.forInstance(
                    clock,
                    pool.coldStartRatePerSecond(),
                    Math.max(1, sharers),
                    self,
                    List.copyOf(view.members().keySet()),
                    target.registration().id(),
                    view.fleetSize());
        });
    }

    void countKey(String pool, int key) {
        synchronized (keyCounts) {
            keyCounts.computeIfAbsent(pool, name -> new HashMap<>()).merge(key, 1, Integer::sum);
        }
    }

    void countAnswer(String life, double millis) {
        synchronized (timings) {
            double[] sum = timings.computeIfAbsent(life, name -> new double[2]);
            sum[0]++;
            sum[1] += millis;
        }
    }

    /**
     * Gives what happened since the last report and starts to count anew.
     *
     * @return the report
     */
    public LoadSummary drainLoadSummary() {
        List<LoadSummary.KeyCount> keys = new ArrayList<>();
        synchronized (keyCounts) {
            keyCounts.forEach((pool, counts) -> counts.entrySet().stream()
                    .limit(MAX_REPORTED_KEYS)
                    .forEach(entry -> keys.add(new LoadSummary.KeyCount(pool, entry.getKey(), entry.getValue()))));
            keyCounts.clear();
        }
        List<LoadSummary.TargetTiming> times = new ArrayList<>();
        synchronized (timings) {
            timings.forEach(
                    (life, sum) -> times.add(new LoadSummary.TargetTiming(life, (int) sum[0], sum[1] / sum[0])));
            timings.clear();
        }
        return new LoadSummary(keys, times);
    }
}
