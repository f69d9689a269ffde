package org.snipewind.coordination.keyspace;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates how many requests per second each target of a pool can run, from the service times of its responses. Not
 * safe for use by several threads.
 */
public final class TargetCapacities {

    /** Assumed service time as long as no target of the pool has a measurement. */
    static final double DEFAULT_SERVICE_MILLIS = 60;

    private static final double MILLIS_PER_SECOND = 1_000;

    private record Average(double millis, double samples) {
        Average with(double meanMillis, int responses, double maxSamples) {
            double weight = responses / (responses + samples);
            return new Average(millis + weight * (meanMillis - millis), Math.min(maxSamples, samples + responses));
        }
    }

    private final double maxSamples;
    private final Map<String, Average> averages = new HashMap<>();

    /**
     * Creates estimates without measurements.
     *
     * @param maxSamples responses over which the service time of a target is averaged
     */
    public TargetCapacities(double maxSamples) {
        this.maxSamples = maxSamples;
    }

    /**
     * Adds responses of a target to its average.
     *
     * @param incarnation incarnation of the target
     * @param responses number of responses
     * @param meanMillis mean time for which each of them occupied a slot
     */
    public void recordServiceTime(String incarnation, int responses, double meanMillis) {
        if (responses > 0) {
            averages.put(
                    incarnation,
                    averages.getOrDefault(incarnation, new Average(meanMillis, 0))
                            .with(meanMillis, responses, maxSamples));
        }
    }

    /**
     * Forgets all other targets.
     *
     * @param incarnations the targets of the pool
     */
    public void retain(Set<String> incarnations) {
        averages.keySet().retainAll(incarnations);
    }

    /**
     * Returns the mean service time of those targets that have measurements, which is assumed for the others.
     *
     * @param incarnations the targets of the pool
     * @return milliseconds
     */
    public double meanServiceMillis(Collection<String> incarnations) {
        double samples = 0;
        double sum = 0;
        for (String incarnation : incarnations) {
            Average average = averages.get(incarnation);
            if (average != null) {
                samples += average.samples();
                sum += average.samples() * average.millis();
            }
        }
        return samples > 0 ? sum / samples : DEFAULT_SERVICE_MILLIS;
    }

    /**
     * Returns the requests per second that a target can run.
     *
     * @param incarnation incarnation of the target
     * @param slots number of requests that it runs concurrently
     * @param poolMeanMillis mean service time of the pool, see {@link #meanServiceMillis}
     * @return the capacity
     */
    public double capacityPerSecond(String incarnation, int slots, double poolMeanMillis) {
        Average average = averages.get(incarnation);
        return Math.max(1, slots) * MILLIS_PER_SECOND / (average == null ? poolMeanMillis : average.millis());
    }
}
