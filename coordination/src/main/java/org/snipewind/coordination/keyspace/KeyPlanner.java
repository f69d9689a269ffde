package org.snipewind.coordination.keyspace;

import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Plans the moves of a pool's keys from measured requests and service times.
 *
 * <p>Two sets of measurements are kept: recent ones, which show a target that is overloaded now, and the usual ones,
 * which show whether the keys of a target suit its speed. Not safe for use by several threads.
 */
public final class KeyPlanner {

    /** Interval between plans that divide the usual load by capacity. */
    private static final long BALANCE_INTERVAL_MILLIS = 2_000;

    /**
     * Time constant of the usual load. With some requests per second at each target, chance then accounts for less than
     * a quarter of its load, and the load of several slow moments is averaged.
     */
    private static final double BALANCE_TIME_CONSTANT_SECONDS = 10;

    /**
     * Responses over which the recent service time of a target is averaged. They take a busy target some seconds, in
     * which several slow moments of its machine pass; a capacity that follows these moments would move keys back and
     * forth.
     */
    private static final double RECENT_SAMPLES = 40;

    /**
     * Responses over which the usual service time is averaged. Averages over fewer follow the slow moments of targets,
     * and keys then move between targets of equal speed.
     */
    private static final double USUAL_SAMPLES = 200;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final MillisClock clock;
    private final KeyRequestRates recentRates;
    private final KeyRequestRates usualRates;
    private final TargetCapacities recentCapacities = new TargetCapacities(RECENT_SAMPLES);
    private final TargetCapacities usualCapacities = new TargetCapacities(USUAL_SAMPLES);
    private long nextBalanceMillis;

    /**
     * Creates a planner without measurements.
     *
     * @param clock clock of the measurements
     */
    public KeyPlanner(MillisClock clock) {
        this.clock = clock;
        this.recentRates = new KeyRequestRates(clock);
        this.usualRates = new KeyRequestRates(clock, BALANCE_TIME_CONSTANT_SECONDS);
        // The usual load is not known before its time constant has passed.
        this.nextBalanceMillis = clock.nowMillis() + (long) (BALANCE_TIME_CONSTANT_SECONDS * MILLIS_PER_SECOND);
    }

    /**
     * Counts requests for a key.
     *
     * @param key the key
     * @param requests number of requests since the last call for this key
     */
    public void recordRequests(int key, int requests) {
        recentRates.recordRequests(key, requests);
        usualRates.recordRequests(key, requests);
    }

    /**
     * Updates the service time of a target.
     *
     * @param incarnation incarnation of the target
     * @param responses number of responses
     * @param meanMillis mean time for which each of them occupied a slot
     */
    public void recordServiceTime(String incarnation, int responses, double meanMillis) {
        recentCapacities.recordServiceTime(incarnation, responses, meanMillis);
        usualCapacities.recordServiceTime(incarnation, responses, meanMillis);
    }

    /**
     * Forgets the service times of all other targets.
     *
     * @param incarnations the targets of the pool
     */
    public void retainTargets(Set<String> incarnations) {
        recentCapacities.retain(incarnations);
        usualCapacities.retain(incarnations);
    }

    /**
     * Plans the next moves.
     *
     * @param table current holders
     * @param targets targets that may hold keys
     * @param coldStartRatePerSecond requests per second that a target in cold start can serve, 0 for no limit
     * @param balance whether the usual load is divided by capacity if nothing is urgent
     * @return planned moves, to be carried out together
     */
    public List<KeyMove> plan(
            KeyTable table, List<PoolTarget> targets, double coldStartRatePerSecond, boolean balance) {
        List<KeyMove> urgent = KeyAssignmentPlanner.plan(
                table, candidates(recentCapacities, targets, coldStartRatePerSecond), recentRates.rates());
        // While keys are moving, the effect of the moves has not been measured.
        if (!urgent.isEmpty()
                || !balance
                || clock.nowMillis() < nextBalanceMillis
                || table.assignments().stream().anyMatch(KeyAssignment::isMoving)) {
            return urgent;
        }
        nextBalanceMillis = clock.nowMillis() + BALANCE_INTERVAL_MILLIS;
        return KeyAssignmentPlanner.planBalance(
                table,
                candidates(usualCapacities, targets, coldStartRatePerSecond),
                usualRates.rates(),
                BALANCE_TIME_CONSTANT_SECONDS);
    }

    /**
     * Returns the recent load by key.
     *
     * @return requests per second
     */
    public NavigableMap<Integer, Double> recentRates() {
        return recentRates.rates();
    }

    private static List<HolderCandidate> candidates(
            TargetCapacities capacities, List<PoolTarget> targets, double coldStartRatePerSecond) {
        double meanMillis = capacities.meanServiceMillis(
                targets.stream().map(PoolTarget::incarnation).toList());
        return targets.stream()
                .map(target -> {
                    double warm = capacities.capacityPerSecond(target.incarnation(), target.slots(), meanMillis)
                            * target.capacityFactor();
                    boolean limited = target.coldStarting() && coldStartRatePerSecond > 0;
                    double capacity = limited ? Math.min(warm, coldStartRatePerSecond) : warm;
                    return new HolderCandidate(target.incarnation(), capacity, target.coldStarting());
                })
                .toList();
    }
}
