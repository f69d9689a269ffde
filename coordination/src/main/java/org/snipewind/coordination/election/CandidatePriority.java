package org.snipewind.coordination.election;

import java.util.Collection;
import java.util.function.DoubleSupplier;

/**
 * Decides in which order instances claim leadership when there is no leader, and when a leader hands it over.
 *
 * <p>The load of a leader grows with the fleet, so instances with a large capacity have priority. Smaller instances
 * lead only while no larger one claims leadership.
 */
public final class CandidatePriority {

    /** Upper bound of the random delay before a claim; a claim takes about a tenth of it. */
    private static final double CLAIM_JITTER_MILLIS = 100;

    /**
     * Link bandwidth in Mbit/s that corresponds to one processor core. A leader sends each change of the store to every
     * instance, so an instance with low bandwidth is as unsuitable as one with little processor time.
     */
    private static final double LINK_MEGABITS_PER_CORE = 100;

    /** Capacity ratio from which an instance outranks another one; smaller differences do not justify a handover. */
    private static final double OUTRANKING_CAPACITY_RATIO = 2;

    /** Head start of larger instances; it covers their random delay, the claim, and the notification about it. */
    private static final long OUTRANKED_DELAY_MILLIS = 300;

    /**
     * A leader hands leadership over after a larger instance was registered without interruption for this time. A
     * registration expires at most six seconds after the last contact of its instance with the store.
     */
    public static final long HANDOVER_AFTER_MILLIS = 7_000;

    private CandidatePriority() {}

    /**
     * Returns how much of a leader's load an instance can handle, which is limited by its scarcer resource.
     *
     * @param processorCores processor time of the instance in cores
     * @param linkMegabits bandwidth of its network link in Mbit/s
     * @return capacity in cores
     */
    public static double capacity(double processorCores, double linkMegabits) {
        return Math.min(processorCores, linkMegabits / LINK_MEGABITS_PER_CORE);
    }

    /**
     * Returns the delay before an instance claims leadership, which includes a random part.
     *
     * @param ownCapacity capacity of the instance
     * @param otherCapacities capacities of the other instances
     * @param random source of uniform random numbers from 0 (inclusive) to 1 (exclusive)
     * @return delay in milliseconds
     */
    public static long claimDelayMillis(double ownCapacity, Collection<Double> otherCapacities, DoubleSupplier random) {
        long delayMillis = isOutranked(ownCapacity, otherCapacities) ? OUTRANKED_DELAY_MILLIS : 0;
        return delayMillis + (long) (random.getAsDouble() * CLAIM_JITTER_MILLIS);
    }

    /**
     * Returns whether another instance has a much larger capacity.
     *
     * @param ownCapacity capacity of the instance
     * @param otherCapacities capacities of the other instances
     * @return true if at least one other instance takes precedence
     */
    public static boolean isOutranked(double ownCapacity, Collection<Double> otherCapacities) {
        return otherCapacities.stream()
                .anyMatch(otherCapacity ->
                        otherCapacity >= ownCapacity * OUTRANKING_CAPACITY_RATIO && otherCapacity > ownCapacity);
    }
}
