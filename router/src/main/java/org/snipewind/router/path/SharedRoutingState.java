package org.snipewind.router.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import org.snipewind.coordination.admission.PoolAdmission;
import org.snipewind.coordination.admission.ShutdownSchedule;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.hedging.SecondAttemptPolicy;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.ColdStartRateLimiter;
import org.snipewind.coordination.target.LoadReport;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.coordination.target.WindowedRetryBudget;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.router.rollout.VersionRouting;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;

/**
 * The state that all workers share: retry budgets of pools, cold-start rate limits of targets, the schedule of a
 * shutdown, and the counts for the next load summary. Each of them has its own lock; no lock is taken while another one
 * is held.
 */
public final class SharedRoutingState {

    /** Fraction of the retry budget that is used, since instances see different parts of a window. */
    private static final double RETRY_BUDGET_FRACTION = 0.75;

    /** Most keys of a pool in a load summary; the load of a range of hot keys shows in part of its requests as well. */
    private static final int MAX_REPORTED_KEYS = 400;

    private final FleetTracker tracker;
    private final MillisClock clock;
    private volatile RouterLimits limits;
    private final String instanceName;
    private volatile Optional<ShutdownSchedule> shutdown = Optional.empty();
    private final Map<String, WindowedRetryBudget> retryBudgets = new ConcurrentHashMap<>();
    private final Map<String, ColdStartRateLimiter> coldStartLimiters = new ConcurrentHashMap<>();
    private final Map<String, SecondAttemptPolicy> secondAttemptPolicies = new ConcurrentHashMap<>();
    private final Map<String, PoolAdmission> admissions = new ConcurrentHashMap<>();
    private final Map<String, Map<Integer, Integer>> keyCounts = new HashMap<>();
    private final Map<String, double[]> serviceTimes = new HashMap<>();
    private final VersionRouting versions;

    /**
     * Creates the state without any counts.
     *
     * @param tracker source of the fleet view
     * @param clock clock for budgets and rate limits
     * @param limits limits that apply to all instances together
     * @param instanceName name of this instance
     */
    public SharedRoutingState(FleetTracker tracker, MillisClock clock, RouterLimits limits, String instanceName) {
        this.tracker = tracker;
        this.clock = clock;
        this.limits = limits;
        this.instanceName = instanceName;
        this.versions = new VersionRouting(tracker, clock);
    }

    /**
     * Returns the filter of targets by their versions.
     *
     * @return the filter
     */
    public VersionRouting versions() {
        return versions;
    }

    /**
     * Sets the limits of all instances together. Retry budgets that exist keep their window and ratio; cold-start rate
     * limits change with the next view. A changed share of second attempts starts without samples.
     *
     * @param changed the new limits
     */
    public void setLimits(RouterLimits changed) {
        boolean sameShare = changed.secondAttemptShare().equals(limits.secondAttemptShare());
        limits = changed;
        if (!sameShare) {
            secondAttemptPolicies.clear();
        }
    }

    /**
     * Refuses requests from now on that would not end before the process does.
     *
     * @param schedule times of the shutdown
     */
    public void beginShutdown(ShutdownSchedule schedule) {
        shutdown = Optional.of(schedule);
    }

    /** Returns whether a request that may take the given time may still start. */
    boolean mayStart(long allowedMillis) {
        return shutdown.map(schedule -> schedule.mayStart(clock.nowMillis(), allowedMillis))
                .orElse(true);
    }

    /**
     * Removes the rate limits of targets that have left or completed their cold start, and applies the rates of the
     * configuration and the fleet of the view to the others; called on the control loop.
     */
    public void onViewChanged() {
        versions.evidence().onViewChanged();
        FleetView view = tracker.view();
        List<String> members = List.copyOf(view.members().keySet());
        coldStartLimiters.forEach((incarnation, limiter) -> {
            Optional<TargetState> target = view.findInService(incarnation).filter(this::isColdStarting);
            if (target.isEmpty()) {
                coldStartLimiters.remove(incarnation);
                return;
            }
            TargetRegistration registration = target.get().registration();
            view.configuration()
                    .flatMap(configuration -> configuration.pool(registration.pool()))
                    .ifPresent(pool -> limiter.configure(
                            pool.coldStartRatePerSecond(),
                            maxColdStartSenders(pool),
                            instanceName,
                            members,
                            registration.id(),
                            view.fleetSize()));
        });
    }

    /** Returns how many instances may send to a target in cold start, each with one request beyond the rate. */
    private int maxColdStartSenders(Pool pool) {
        return Math.max(
                1, (int) ((limits.coldFactor() - 1) * pool.coldStartRatePerSecond() + limits.coldAllowance()) - 1);
    }

    private boolean isColdStarting(TargetState state) {
        return state.isColdStarting(clock.nowMillis());
    }

    void recordFirstAttempt(String pool) {
        retryBudget(pool).recordFirstAttempt();
    }

    boolean tryAcquireRetry(String pool) {
        return retryBudget(pool)
                .tryAcquire(limits.repeatAllowance()
                        * RETRY_BUDGET_FRACTION
                        / tracker.view().fleetSize());
    }

    /** Returns the policy for second attempts to a pool, empty if their share has no limit of its own. */
    Optional<SecondAttemptPolicy> secondAttemptPolicy(String pool) {
        OptionalDouble share = limits.secondAttemptShare();
        return share.isEmpty()
                ? Optional.empty()
                : Optional.of(secondAttemptPolicies.computeIfAbsent(
                        pool, name -> new SecondAttemptPolicy(share.getAsDouble())));
    }

    /** Records the load that a target of a pool reported. */
    void recordReport(String pool, LoadReport report) {
        secondAttemptPolicy(pool).ifPresent(policy -> policy.recordReport(report, clock.nowMillis()));
    }

    /** Records that a target of a pool rejected a request. */
    void recordRejection(String pool) {
        secondAttemptPolicy(pool).ifPresent(policy -> policy.recordRejection(clock.nowMillis()));
    }

    private WindowedRetryBudget retryBudget(String pool) {
        return retryBudgets.computeIfAbsent(
                pool,
                name -> new WindowedRetryBudget(
                        clock, limits.repeatWindowMillis(), limits.repeatRatio() * RETRY_BUDGET_FRACTION));
    }

    /** Returns what this instance knows about the room in a pool. */
    PoolAdmission admission(String pool) {
        return admissions.computeIfAbsent(
                pool,
                name -> new PoolAdmission(() -> ThreadLocalRandom.current().nextDouble()));
    }

    void forEachAdmission(BiConsumer<String, PoolAdmission> action) {
        admissions.forEach(action);
    }

    /** Returns this instance's rate limiter for a target in cold start. */
    ColdStartRateLimiter coldStartLimiter(Pool pool, TargetState target) {
        return coldStartLimiters.computeIfAbsent(
                target.registration().incarnation(), incarnation -> createColdStartLimiter(pool, target));
    }

    /** Returns whether a target in cold start may get a request now; a limiter that does not exist is not kept. */
    boolean hasColdStartPermit(Pool pool, TargetState target) {
        ColdStartRateLimiter limiter =
                coldStartLimiters.get(target.registration().incarnation());
        return (limiter == null ? createColdStartLimiter(pool, target) : limiter).canAcquire();
    }

    private ColdStartRateLimiter createColdStartLimiter(Pool pool, TargetState target) {
        FleetView view = tracker.view();
        return ColdStartRateLimiter.forInstance(
                clock,
                pool.coldStartRatePerSecond(),
                maxColdStartSenders(pool),
                instanceName,
                List.copyOf(view.members().keySet()),
                target.registration().id(),
                view.fleetSize());
    }

    void recordKey(String pool, int key) {
        synchronized (keyCounts) {
            keyCounts.computeIfAbsent(pool, name -> new HashMap<>()).merge(key, 1, Integer::sum);
        }
    }

    void recordServiceTime(String incarnation, double millis) {
        synchronized (serviceTimes) {
            // The number of responses and the sum of their service times.
            double[] countAndSum = serviceTimes.computeIfAbsent(incarnation, key -> new double[2]);
            countAndSum[0]++;
            countAndSum[1] += millis;
        }
    }

    /**
     * Returns the counts since the last call and resets them.
     *
     * @return key counts by pool and mean service times by target incarnation
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
        synchronized (serviceTimes) {
            serviceTimes.forEach((incarnation, countAndSum) -> times.add(
                    new LoadSummary.TargetTiming(incarnation, (int) countAndSum[0], countAndSum[1] / countAndSum[0])));
            serviceTimes.clear();
        }
        return new LoadSummary(keys, times);
    }
}
