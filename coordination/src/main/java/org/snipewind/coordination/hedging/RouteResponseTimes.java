package org.snipewind.coordination.hedging;

import java.util.Arrays;
import java.util.OptionalLong;

/** The latest response times of one route at this instance; all methods are synchronized. */
final class RouteResponseTimes {

    /**
     * Number of latest samples that are kept, so that 12 lie above the 95th percentile; older ones are replaced first.
     * All of them are sorted for a quantile.
     */
    private static final int MAX_SAMPLES = 256;

    /** Samples needed for a quantile; with fewer, the 95th percentile would be their maximum. */
    private static final int MIN_SAMPLES = 20;

    /** Age up to which a sample counts; an instance with one request per second has 30 samples in this time. */
    private static final long MAX_AGE_MILLIS = 30_000;

    /** Samples after which the quantile is calculated again, since sorting takes longer than the other steps. */
    private static final int SAMPLES_PER_CALCULATION = 16;

    /** Time after which the quantile is calculated again even without that many new samples. */
    private static final long MAX_CALCULATION_AGE_MILLIS = 250;

    private static final double MEDIAN = 0.5;

    private final long[] responseMillis = new long[MAX_SAMPLES];
    private final long[] recordedAtMillis = new long[MAX_SAMPLES];
    private long recorded;
    private OptionalLong calculated = OptionalLong.empty();
    private long calculatedAtMillis = Long.MIN_VALUE / 2;
    private long recordedAtCalculation;

    /**
     * Adds a sample.
     *
     * @param millis time that a request took, or had taken when it was cancelled
     * @param nowMillis current time
     */
    synchronized void record(long millis, long nowMillis) {
        int index = (int) (recorded % MAX_SAMPLES);
        responseMillis[index] = millis;
        recordedAtMillis[index] = nowMillis;
        recorded++;
    }

    /**
     * Returns a quantile of the samples, but at most a multiple of their median.
     *
     * @param quantile the quantile, from 0.5 to 1
     * @param maxMedianFactor largest multiple of the median
     * @param nowMillis current time
     * @return milliseconds, or empty if fewer than 20 samples are recent
     */
    synchronized OptionalLong delayMillis(double quantile, double maxMedianFactor, long nowMillis) {
        boolean current = recorded - recordedAtCalculation < SAMPLES_PER_CALCULATION
                && nowMillis - calculatedAtMillis < MAX_CALCULATION_AGE_MILLIS;
        if (!current) {
            calculated = calculate(quantile, maxMedianFactor, nowMillis);
            calculatedAtMillis = nowMillis;
            recordedAtCalculation = recorded;
        }
        return calculated;
    }

    private OptionalLong calculate(double quantile, double maxMedianFactor, long nowMillis) {
        int kept = (int) Math.min(recorded, MAX_SAMPLES);
        long[] recent = new long[kept];
        int count = 0;
        for (int index = 0; index < kept; index++) {
            if (nowMillis - recordedAtMillis[index] <= MAX_AGE_MILLIS) {
                recent[count++] = responseMillis[index];
            }
        }
        if (count < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        Arrays.sort(recent, 0, count);
        long maxMillis = (long) Math.ceil(valueAt(recent, count, MEDIAN) * maxMedianFactor);
        return OptionalLong.of(Math.min(valueAt(recent, count, quantile), maxMillis));
    }

    private static long valueAt(long[] sorted, int count, double quantile) {
        int rank = (int) Math.ceil(quantile * count);
        return sorted[Math.max(0, Math.min(count, rank) - 1)];
    }
}
