package org.snipewind.router.peer;

import org.snipewind.protocol.MirrorDelta;

/**
 * Bound on the difference between the clocks of this instance and another one, from readings of the other clock that
 * its responses contain. It tells the other instance how long a message was on its way, however long it was delayed.
 * Not thread-safe.
 */
final class ClockOffset {

    /** Readings of the last one to two windows count, since two clocks drift apart. */
    private static final long WINDOW_MILLIS = 10_000;

    /** Covers the rounding of both clocks to milliseconds and a drift of 100 parts per million over two windows. */
    private static final long MARGIN_MILLIS = 3;

    private static final long NONE = Long.MAX_VALUE;

    private long windowStartMillis;
    private long currentBound = NONE;
    private long previousBound = NONE;

    /**
     * Records a response.
     *
     * @param remoteMillis the other instance's clock when it responded
     * @param nowMillis this instance's clock when the response arrived, which was later
     */
    void record(long remoteMillis, long nowMillis) {
        if (!isKnown() || nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            previousBound = currentBound;
            currentBound = NONE;
        }
        currentBound = Math.min(currentBound, nowMillis - remoteMillis);
    }

    boolean isKnown() {
        return currentBound != NONE;
    }

    /**
     * Returns a reading of the other clock that is not after a time of this one.
     *
     * @param nowMillis this instance's clock
     * @return the other instance's clock, {@link MirrorDelta#UNKNOWN_MILLIS} before the first response
     */
    long toRemote(long nowMillis) {
        return isKnown()
                ? nowMillis - Math.min(currentBound, previousBound) - MARGIN_MILLIS
                : MirrorDelta.UNKNOWN_MILLIS;
    }
}
