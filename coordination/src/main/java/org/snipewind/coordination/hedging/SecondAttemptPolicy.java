package org.snipewind.coordination.hedging;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.budget.ExtraAttemptBudget;
import org.snipewind.coordination.target.LoadReport;
import org.snipewind.coordination.target.TargetState;

/**
 * Decides when a request to one pool may be sent to a second target, and whether; all methods are thread-safe.
 *
 * <p>A second attempt after a high quantile of the response times shortens the tail of latency at the cost of a few per
 * cent more requests (Dean and Barroso, The Tail at Scale, 2013).
 */
public final class SecondAttemptPolicy {

    /** Fraction of the latency objective after which a second attempt is sent while too few samples are known. */
    public static final double FALLBACK_DELAY_FRACTION = 0.6;

    /** Lowest quantile used: requests below it are not slow, however many second attempts are permitted. */
    private static final double MIN_QUANTILE = 0.8;

    /** Highest quantile used: above it the window holds too few samples. */
    private static final double MAX_QUANTILE = 0.99;

    /**
     * Multiple of the median from which every response counts as slow. If the share is near the fraction of slow
     * responses, the quantile lies among these, and second attempts would be too late.
     */
    private static final double MAX_MEDIAN_FACTOR = 3;

    /** Second attempts that can be saved, so that a fleet of 80 instances can't send hundreds at once. */
    private static final int MAX_SAVED = 3;

    private final double share;
    private final ExtraAttemptBudget budget;
    private final PoolCondition condition = new PoolCondition();
    private final Map<String, RouteResponseTimes> timesByRoute = new ConcurrentHashMap<>();

    /**
     * Creates a policy that has earned no second attempts yet, so that restarts add none.
     *
     * @param share second attempts permitted for each first attempt, from 0 to 1
     * @throws IllegalArgumentException if the share is not between 0 and 1
     */
    public SecondAttemptPolicy(double share) {
        this.share = share;
        this.budget = new ExtraAttemptBudget(share, 0, MAX_SAVED);
    }

    /** Counts a first attempt to the pool, which earns a share of a second attempt. */
    public void recordFirstAttempt() {
        budget.recordFirstAttempt();
    }

    /**
     * Records the load that a target reported.
     *
     * @param report the load report
     * @param nowMillis current time
     */
    public void recordReport(LoadReport report, long nowMillis) {
        boolean busy = report.waiting() > 0 || report.slowdown() >= TargetState.SLOW_FACTOR;
        synchronized (condition) {
            condition.recordReport(busy, nowMillis);
        }
    }

    /**
     * Records that a target rejected a request for lack of room.
     *
     * @param nowMillis current time
     */
    public void recordRejection(long nowMillis) {
        synchronized (condition) {
            condition.recordReport(true, nowMillis);
        }
    }

    /**
     * Records whether a request was still without a response when a second attempt was due.
     *
     * @param overdue false if the response came before
     * @param nowMillis current time
     */
    public void recordOverdue(boolean overdue, long nowMillis) {
        synchronized (condition) {
            condition.recordOverdue(overdue, nowMillis);
        }
    }

    /**
     * Records the time that a first attempt took.
     *
     * @param route name of the route
     * @param millis time until its response, or until it was cancelled since the second attempt was faster
     * @param nowMillis current time
     */
    public void recordResponseTime(String route, long millis, long nowMillis) {
        // Times measured without free capacity are not those usual of the route, and would delay later second attempts.
        if (hasFreeCapacity(nowMillis)) {
            times(route).record(millis, nowMillis);
        }
    }

    /**
     * Returns how long to wait for the first attempt before a second one is due.
     *
     * @param route name of the route
     * @param objectiveMillis latency objective of the route
     * @param expectedMillis response time expected of the first target when the request is sent
     * @param nowMillis current time
     * @return milliseconds
     */
    public long delayMillis(String route, long objectiveMillis, double expectedMillis, long nowMillis) {
        double quantile = Math.max(MIN_QUANTILE, Math.min(MAX_QUANTILE, 1 - share));
        long usualMillis = times(route)
                .delayMillis(quantile, MAX_MEDIAN_FACTOR, nowMillis)
                .orElse((long) (objectiveMillis * FALLBACK_DELAY_FRACTION));
        return Math.max(usualMillis, (long) Math.ceil(expectedMillis));
    }

    /**
     * Permits a second attempt or says why not. A permitted one is taken from the share and the retry budget.
     *
     * @param expectedMillis response time expected of the second target, empty if there is no suitable target
     * @param deadlineLeftMillis time until the deadline
     * @param nowMillis current time
     * @param retryBudget takes one retry from the retry budget, false if it is used up; called last
     * @return the reason of a refusal, empty if the second attempt is permitted
     */
    public Optional<SecondAttemptRefusal> acquire(
            OptionalDouble expectedMillis, long deadlineLeftMillis, long nowMillis, BooleanSupplier retryBudget) {
        if (!hasFreeCapacity(nowMillis)) {
            return Optional.of(SecondAttemptRefusal.NO_CAPACITY);
        }
        if (expectedMillis.isEmpty()) {
            return Optional.of(SecondAttemptRefusal.NO_TARGET);
        }
        // A response after the objective still has a value, and the slowest responses are those that matter here.
        if (expectedMillis.getAsDouble() > deadlineLeftMillis) {
            return Optional.of(SecondAttemptRefusal.NO_TIME);
        }
        if (!budget.tryAcquire()) {
            return Optional.of(SecondAttemptRefusal.SHARE);
        }
        return retryBudget.getAsBoolean() ? Optional.empty() : Optional.of(SecondAttemptRefusal.RETRY_BUDGET);
    }

    private boolean hasFreeCapacity(long nowMillis) {
        synchronized (condition) {
            return condition.hasFreeCapacity(nowMillis);
        }
    }

    private RouteResponseTimes times(String route) {
        return timesByRoute.computeIfAbsent(route, name -> new RouteResponseTimes());
    }
}
