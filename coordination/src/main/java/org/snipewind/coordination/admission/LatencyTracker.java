package org.snipewind.coordination.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Latencies of one target or pool; all methods are synchronized.
 *
 * <p>Load reports of targets lag, and a frozen target answers nothing, so unanswered requests count by their age.
 */
public final class LatencyTracker {

    /** Answers over which a quantile is taken. */
    private static final int WINDOW = 512;

    private static final int QUANTILE_ANSWERS = 20;

    /** Number of answers that the recent average stands for. */
    private static final int RECENT_ANSWERS = 8;

    /** Number of answers that the usual latency stands for. */
    private static final int USUAL_ANSWERS = 200;

    /** Hysteresis: a target becomes slow at the first factor of its usual latency and stays so down to the second. */
    private static final double SLOW_FACTOR = 3;

    private static final double NORMAL_FACTOR = 1.5;

    /** A latency below the clock's resolution counts as half of it. */
    private static final long SMALLEST_MICROS = 500;

    private final MillisClock clock;
    private final Map<String, Long> unanswered = new HashMap<>();
    private final long[] window = new long[WINDOW];
    private long answers;
    private double averageMicros;
    private double usualMicros;
    private boolean wasSlow;

    /**
     * Creates a tracker without latencies.
     *
     * @param clock the clock that measures them
     */
    public LatencyTracker(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Notes that a request is sent.
     *
     * @param id id of the request
     */
    public synchronized void start(String id) {
        unanswered.put(id, clock.nowMillis());
        wasSlow = isSlow();
    }

    /**
     * Notes that a request was answered.
     *
     * @param id id of the request
     * @return its latency in microseconds, or empty if it was not started
     */
    public synchronized OptionalLong finish(String id) {
        boolean slowBefore = isSlow();
        Long startedAt = unanswered.remove(id);
        if (startedAt == null) {
            return OptionalLong.empty();
        }
        long micros = Math.max(SMALLEST_MICROS, (clock.nowMillis() - startedAt) * 1_000);
        window[(int) (answers % WINDOW)] = micros;
        answers++;
        averageMicros += (micros - averageMicros) / Math.min(answers, RECENT_ANSWERS);
        // A slow answer counts with at most the slow factor, so a slow moment hardly moves the usual latency.
        double counted =
                answers <= RECENT_ANSWERS ? (double) micros : Math.min((double) micros, SLOW_FACTOR * usualMicros);
        usualMicros += (counted - usualMicros) / Math.min(answers, USUAL_ANSWERS);
        wasSlow = slowBefore;
        wasSlow = isSlow();
        return OptionalLong.of(micros);
    }

    /**
     * Forgets a request that gets no answer, such as a cancelled one.
     *
     * @param id id of the request
     */
    public synchronized void cancel(String id) {
        wasSlow = isSlow();
        unanswered.remove(id);
    }

    /**
     * Gives the average of recent answers, raised by unanswered requests that are older than it.
     *
     * @return microseconds, 0 if nothing is known
     */
    public synchronized long recentLatencyMicros() {
        long now = clock.nowMillis();
        double sum = averageMicros * RECENT_ANSWERS;
        int count = RECENT_ANSWERS;
        for (long startedAt : unanswered.values()) {
            double age = (now - startedAt) * 1_000.0;
            if (age > averageMicros) {
                sum += age;
                count++;
            }
        }
        return Math.round(sum / count);
    }

    /**
     * Gives a quantile of the last answers.
     *
     * @param quantile the quantile, from 0 to 1
     * @return microseconds, or empty if fewer than 20 answers are known
     */
    public synchronized OptionalLong quantileMicros(double quantile) {
        if (answers < QUANTILE_ANSWERS) {
            return OptionalLong.empty();
        }
        long[] sorted = Arrays.copyOf(window, (int) Math.min(answers, WINDOW));
        Arrays.sort(sorted);
        int rank = (int) Math.ceil(quantile * sorted.length);
        return OptionalLong.of(sorted[Math.max(0, Math.min(sorted.length, rank) - 1)]);
    }

    /**
     * Tells whether the target is slow compared with its own usual latency.
     *
     * @return true from 3 times the usual latency on, until it falls below 1.5 times
     */
    public synchronized boolean isSlow() {
        if (answers < QUANTILE_ANSWERS) {
            return false;
        }
        return recentLatencyMicros() >= (wasSlow ? NORMAL_FACTOR : SLOW_FACTOR) * usualMicros;
    }
}
