package org.snipewind.coordination.election;

import java.util.Collection;
import java.util.function.DoubleSupplier;

/** Spreads the claims of the instances that could lead, so that mostly one of them writes. */
public final class CandidateOrder {

    /** Candidates wait a random part of this time; a claim takes about a tenth of it. */
    private static final double SPREAD_MILLIS = 100;

    /**
     * Mbit/s of link that the work of a leader takes for each core of processor time. Measured at 86 instances, where a
     * change of the configuration alone is 4 MB for the link of the leader.
     */
    private static final double MEGABITS_PER_CORE = 100;

    private CandidateOrder() {}

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
        return (long) (random.getAsDouble() * SPREAD_MILLIS);
    }
}
