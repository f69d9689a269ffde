package org.snipewind.coordination.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;

/**
 * What incarnations of targets have said about further requests: that they are leaving, or that they want none until a
 * time. Leaving is final for an incarnation, and a pause can only be lengthened, whatever the registration of the
 * target says. All methods may be called on any thread.
 */
public final class TargetNotices {

    /** Time after a pause in which requests to the target are paced, so that its end brings no wave of requests. */
    public static final long RESUMPTION_MILLIS = 1_000;

    /** Incarnations that are remembered; the oldest are forgotten first. */
    private static final int MAX_INCARNATIONS = 8_192;

    /** Longest pause that is accepted; a longer one counts as this long. */
    private static final long MAX_PAUSE_MILLIS = 24 * 60 * 60 * 1_000L;

    private record Notice(boolean leaving, Optional<Long> pausedUntilMillis) {}

    private final MillisClock clock;
    private final Map<String, Notice> notices = new LinkedHashMap<>();

    /** Whether there are no notices, as is usual, so that requests need not look each target up. */
    private volatile boolean empty = true;

    /**
     * Creates an empty collection.
     *
     * @param clock clock of the pauses
     */
    public TargetNotices(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Records that an incarnation is leaving.
     *
     * @param incarnation the incarnation
     * @return false if this was known
     */
    public synchronized boolean recordLeaving(String incarnation) {
        Notice known = notice(incarnation);
        put(incarnation, new Notice(true, known.pausedUntilMillis()));
        return !known.leaving();
    }

    /**
     * Records that an incarnation wants no requests for some time. An earlier notice stays in force if it ends later.
     *
     * @param incarnation the incarnation
     * @param pauseMillis time from now
     */
    public synchronized void recordPause(String incarnation, long pauseMillis) {
        Notice known = notice(incarnation);
        long untilMillis = clock.nowMillis() + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
        long longerMillis = Math.max(untilMillis, known.pausedUntilMillis().orElse(untilMillis));
        put(incarnation, new Notice(known.leaving(), Optional.of(longerMillis)));
    }

    private Notice notice(String incarnation) {
        return notices.getOrDefault(incarnation, new Notice(false, Optional.empty()));
    }

    private void put(String incarnation, Notice notice) {
        notices.put(incarnation, notice);
        empty = false;
        if (notices.size() > MAX_INCARNATIONS) {
            notices.remove(notices.keySet().iterator().next());
        }
    }

    /**
     * Returns whether an incarnation has said that it is leaving.
     *
     * @param incarnation the incarnation
     * @return true from the first such notice on
     */
    public boolean isLeaving(String incarnation) {
        return !empty && isLeavingNow(incarnation);
    }

    private synchronized boolean isLeavingNow(String incarnation) {
        return notice(incarnation).leaving();
    }

    /**
     * Returns the time until an incarnation wants requests again.
     *
     * @param incarnation the incarnation
     * @return milliseconds, 0 if it is not pausing
     */
    public long pauseRemainingMillis(String incarnation) {
        return Math.max(0, -millisSincePause(incarnation).orElse(0L));
    }

    /**
     * Returns whether the pause of an incarnation ended a short time ago, so that requests to it are paced.
     *
     * @param incarnation the incarnation
     * @return true for {@value #RESUMPTION_MILLIS} ms after a pause
     */
    public boolean isResuming(String incarnation) {
        return millisSincePause(incarnation)
                .filter(sinceMillis -> sinceMillis >= 0 && sinceMillis < RESUMPTION_MILLIS)
                .isPresent();
    }

    /** Returns the time since the end of the pause, negative before it, empty if there was none. */
    private Optional<Long> millisSincePause(String incarnation) {
        if (empty) {
            return Optional.empty();
        }
        synchronized (this) {
            return notice(incarnation).pausedUntilMillis().map(untilMillis -> clock.nowMillis() - untilMillis);
        }
    }
}
