package org.snipewind.coordination.keyspace;

import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Divides the load of a pool over targets of different speeds so that the mean response time is short.
 *
 * <p>At equal utilization, most of the time is lost at the slow targets, although the fast ones could still serve more
 * at once. The mean response time of queues with service rates c and arrival rates l is shortest if l = c - k sqrt(c),
 * with k such that the sum of all l is the load (the square-root rule of Kleinrock, Queueing Systems, volume II). Near
 * full load it becomes the division by capacity.
 */
final class FairLoads {

    /** Least load of a target as a fraction of that in proportion to its capacity, so that it is still measured. */
    private static final double MIN_FRACTION = 0.2;

    private FairLoads() {}

    /**
     * Replaces the capacity of each target by its fair load.
     *
     * @param targets the targets
     * @param rates requests per second of all keys
     * @param factor factor by which each fair load is multiplied
     * @return the targets with the changed capacities
     */
    static List<HolderCandidate> asCapacities(List<HolderCandidate> targets, Collection<Double> rates, double factor) {
        double[] loads =
                of(targets, rates.stream().mapToDouble(Double::doubleValue).sum());
        return IntStream.range(0, loads.length)
                .mapToObj(index -> new HolderCandidate(targets.get(index).incarnation(), loads[index] * factor, false))
                .toList();
    }

    /**
     * Returns the load of each target.
     *
     * @param targets the targets
     * @param totalLoad requests per second of all targets together
     * @return requests per second, in the order of the targets
     */
    static double[] of(List<HolderCandidate> targets, double totalLoad) {
        double[] capacities =
                targets.stream().mapToDouble(HolderCandidate::capacityPerSecond).toArray();
        double totalCapacity = 0;
        double totalRoot = 0;
        for (double capacity : capacities) {
            totalCapacity += capacity;
            totalRoot += Math.sqrt(capacity);
        }
        double factor = Math.max(0, totalCapacity - totalLoad) / totalRoot;
        double[] loads = new double[capacities.length];
        double sum = 0;
        for (int index = 0; index < loads.length; index++) {
            double byCapacity = capacities[index] * totalLoad / totalCapacity;
            loads[index] =
                    Math.max(MIN_FRACTION * byCapacity, capacities[index] - factor * Math.sqrt(capacities[index]));
            sum += loads[index];
        }
        for (int index = 0; index < loads.length; index++) {
            loads[index] *= totalLoad / sum;
        }
        return loads;
    }
}
