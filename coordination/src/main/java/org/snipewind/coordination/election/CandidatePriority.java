package org.snipewind.coordination.election;

import java.util.Collection;
import java.util.function.DoubleSupplier;

/**
 * Decides in which order instances claim a vacant office, and when a leader gives it away.
 *
 * <p>The work of a leader grows with the fleet, so it falls to the instances that can carry most of it. Small ones lead
 * only while no larger one takes the office.
 */
public final class CandidatePriority {

    /** Candidates wait a random part of this time; a claim takes about a tenth of it. */
    private static final double SPREAD_MILLIS = 100;

    /**
     * Mbit/s of link that count like one core. A leader sends each change of the store to every instance, so one with a
     * narrow link is as unfit as one with little processor time.
     */
    private static final double MEGABITS_PER_CORE = 100;

    /** An instance with this many times the capacity counts as larger; lesser differences are not worth a handover. */
    private static final double LARGER_FACTOR = 2;

    /** Larger instances have this time to claim a vacant office: the spread of claims, the claim, and word of it. */
    private static final long LARGER_FIRST_MILLIS = 300;

    /**
     * A leader gives the office away after a larger instance was listed for this time without a break. An entry lives
     * for at most six seconds after its instance was last in touch with the store.
     */
    public static final long HANDOVER_AFTER_MILLIS = 7_000;

    private CandidatePriority() {}

    /**
     * Works out how much of a leader's work an instance can carry, by what it is shorter of.
     *
     * @param processorCores processor time of the instance, in cores
     * @param linkMegabits bandwidth of its network link, in Mbit/s
     * @return capacity in cores
     */
    public static double capacity(double processorCores, double linkMegabits) {
        return Math.min(processorCores, linkMegabits / MEGABITS_PER_CORE);
    }

    /**
     * Draws how long an instance waits before it claims a vacant office.
     *
     * @param own capacity of the instance
     * @param others capacities of the other instances
     * @param random uniform random numbers from 0 (inclusive) to 1 (exclusive)
     * @return milliseconds
     */
    public static long claimDelayMillis(double own, Collection<Double> others, DoubleSupplier random) {
        long first = isOutranked(own, others) ? LARGER_FIRST_MILLIS : 0;
        return first + (long) (random.getAsDouble() * SPREAD_MILLIS);
    }

    /**
     * Tells whether another instance can carry clearly more of a leader's work.
     *
     * @param own capacity of the instance
     * @param others capacities of the other instances
     * @return true if another one is to go first
     */
    public static boolean isOutranked(double own, Collection<Double> others) {
        return others.stream().anyMatch(other -> other >= own * LARGER_FACTOR && other > own);
    }
}
