package org.snipewind.command.replay;

import io.micronaut.serde.annotation.Serdeable;
import java.util.Collection;
import org.HdrHistogram.Histogram;

/**
 * Percentiles of the latency of answered requests, measured from their intended send times.
 *
 * @param count number of answered requests
 * @param p50Millis median
 * @param p99Millis 99th percentile
 * @param p999Millis 99.9th percentile
 * @param maxMillis largest latency
 */
@Serdeable
public record LatencySummary(long count, double p50Millis, double p99Millis, double p999Millis, double maxMillis) {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLISECOND = 1_000;

    /**
     * Summarises the latency of the requests that were answered; other outcomes are ignored.
     *
     * @param results outcomes of requests
     * @return the percentiles, all 0 if no request was answered
     */
    public static LatencySummary of(Collection<ReplayResult> results) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        results.stream()
                .filter(result -> result.kind() == OutcomeKind.ANSWERED)
                .forEach(result -> histogram.recordValue(result.latencyMicros()));
        return new LatencySummary(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLISECOND,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLISECOND,
                histogram.getValueAtPercentile(99.9) / MICROS_PER_MILLISECOND,
                histogram.getMaxValue() / MICROS_PER_MILLISECOND);
    }
}
