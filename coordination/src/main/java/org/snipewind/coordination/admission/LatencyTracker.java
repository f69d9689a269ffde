package org.snipewind.coordination.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Measures the latencies of one target or pool; all methods are synchronized.
 *
 * <p>Load reports of targets are delayed, and an unresponsive target completes no requests. Requests in flight
 * therefore count by their age.
 */
public final class LatencyTracker {

    /** Number of latest responses from which quantiles are calculated. */
    private static final int WINDOW_SIZE = 512;

    /** Responses needed before quantiles are returned and the target may count as slow. */
    private static final int MIN_RESPONSES = 20;

    /** Number of responses that the recent average covers. */
    private static final int RECENT_RESPONSES = 8;

    /** Number of responses that the baseline latency covers. */
    private static final int BASELINE_RESPONSES = 200;

    /** A target becomes slow at this multiple of its baseline latency; the lower recovery factor adds hysteresis. */
    private static final double SLOW_FACTOR = 3;

    private static final double RECOVERY_FACTOR = 1.5;

    /** Latency recorded for a response faster than the clock's resolution: half of the resolution. */
    private static final long MIN_LATENCY_MICROS = 500;

    private final MillisClock clock;
    private final Map<String, Long> startMillisById = new HashMap<>();
    private final long[] window = new long[WINDOW_SIZE];
    private long responses;
    private double recentAverageMicros;
    private double baselineMicros;
    private boolean wasSlow;

    /**
     * Creates a tracker without measurements.
     *
     * @param clock the clock by which latencies are measured
     */
    public LatencyTracker(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Records that a request was sent.
     *
     * @param id id of the request
     */
    public synchronized void start(String id) {
        startMillisById.put(id, clock.nowMillis());
        wasSlow = isSlow();
    }

    /**
     * Records the response to a request.
     *
     * @param id id of the request
     * @return the latency in microseconds, or empty if the request is not in flight
     */
    public synchronized OptionalLong finish(String id) {
        boolean slowBefore = isSlow();
        Long startMillis = startMillisById.remove(id);
        if (startMillis == null) {
            return OptionalLong.empty();
        }
        long latencyMicros = Math.max(MIN_LATENCY_MICROS, (clock.nowMillis() - startMillis) * 1_000);
        window[(int) (responses % WINDOW_SIZE)] = latencyMicros;
        responses++;
        recentAverageMicros += (latencyMicros - recentAverageMicros) / Math.min(responses, RECENT_RESPONSES);
        // A response counts as at most the baseline times the slow factor, so a short slowdown hardly moves the
        // baseline.
        double cappedMicros = responses <= RECENT_RESPONSES
                ? (double) latencyMicros
                : Math.min((double) latencyMicros, SLOW_FACTOR * baselineMicros);
        baselineMicros += (cappedMicros - baselineMicros) / Math.min(responses, BASELINE_RESPONSES);
        wasSlow = slowBefore;
        wasSlow = isSlow();
        return OptionalLong.of(latencyMicros);
    }

    /**
     * Removes a request that receives no response, such as a cancelled one.
     *
     * @param id id of the request
     */
    public synchronized void cancel(String id) {
        wasSlow = isSlow();
        startMillisById.remove(id);
    }

    /**
     * Returns the average latency of recent responses; a request in flight counts by its age once that is higher.
     *
     * @return microseconds, 0 without measurements
     */
    public synchronized long recentLatencyMicros() {
        long now = clock.nowMillis();
        double sumMicros = recentAverageMicros * RECENT_RESPONSES;
        int count = RECENT_RESPONSES;
        for (long startMillis : startMillisById.values()) {
            double ageMicros = (now - startMillis) * 1_000.0;
            if (ageMicros > recentAverageMicros) {
                sumMicros += ageMicros;
                count++;
            }
        }
        return Math.round(sumMicros / count);
    }

    /**
     * Returns a quantile of the latencies of the latest responses.
     *
     * @param quantile the quantile, from 0 to 1
     * @return microseconds, or empty if fewer than 20 responses were recorded
     */
    public synchronized OptionalLong quantileMicros(double quantile) {
        if (responses < MIN_RESPONSES) {
            return OptionalLong.empty();
        }
        long[] sorted = Arrays.copyOf(window, (int) Math.min(responses, WINDOW_SIZE));
        Arrays.sort(sorted);
        int rank = (int) Math.ceil(quantile * sorted.length);
        return OptionalLong.of(sorted[Math.max(0, Math.min(sorted.length, rank) - 1)]);
    }

    /**
     * Returns whether the target is slow compared with its own baseline latency.
     *
     * @return true from 3 times the baseline latency on, until the recent latency falls below 1.5 times
     */
    public synchronized boolean isSlow() {
        if (responses < MIN_RESPONSES) {
            return false;
        }
        return recentLatencyMicros() >= (wasSlow ? RECOVERY_FACTOR : SLOW_FACTOR) * baselineMicros;
    }
}
