package org.snipewind.coordination.admission;

/** Rate at which requests complete, as an exponentially weighted moving average; not thread-safe. */
final class CompletionRate {

    /** Time constant of the average: short enough to follow a burst of 3 s, long enough for one request per second. */
    private static final double WINDOW_MILLIS = 2_000;

    private double completions;
    private long updatedMillis = Long.MIN_VALUE / 2;

    void record(long nowMillis) {
        completions = decayed(nowMillis) + 1;
        updatedMillis = nowMillis;
    }

    double perSecond(long nowMillis) {
        return decayed(nowMillis) * 1_000 / WINDOW_MILLIS;
    }

    private double decayed(long nowMillis) {
        return completions * Math.exp(-Math.max(0, nowMillis - updatedMillis) / WINDOW_MILLIS);
    }
}
