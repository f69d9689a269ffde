package org.snipewind.coordination.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
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

    /** Largest difference between the times of day of this machine and of a target's. */
    private static final long TIME_OF_DAY_TOLERANCE_MILLIS = 2_000;

    private record Notice(boolean leaving, Optional<Long> pausedUntilMillis) {}

    /** A pause for which the process at a target's address has asked, whether it had registered itself or not. */
    private record Pause(long untilMillis, long askedAtTimeOfDay) {}

    private final MillisClock clock;
    private final LongSupplier timeOfDayMillis;
    private final Map<String, Notice> notices = new LinkedHashMap<>();
    private final Map<String, Pause> newestPausesByTarget = new LinkedHashMap<>();

    /** Whether there are no notices, as is usual, so that requests need not look each target up. */
    private volatile boolean empty = true;

    /**
     * Creates an empty collection.
     *
     * @param clock clock of the pauses
     * @param timeOfDayMillis time of day in milliseconds since the Unix epoch, for comparison with starts of targets
     */
    public TargetNotices(MillisClock clock, LongSupplier timeOfDayMillis) {
        this.clock = clock;
        this.timeOfDayMillis = timeOfDayMillis;
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
     * The answer may come from a process that has started again under the same id and is not registered yet, so it
     * holds for that one too.
     *
     * @param incarnation the incarnation
     * @param pauseMillis time from now
     */
    public synchronized void recordPause(String incarnation, long pauseMillis) {
        Notice known = notice(incarnation);
        long untilMillis = clock.nowMillis() + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
        long longerMillis = Math.max(untilMillis, known.pausedUntilMillis().orElse(untilMillis));
        put(incarnation, new Notice(known.leaving(), Optional.of(longerMillis)));
        newestPausesByTarget.put(
                TargetRegistration.idOf(incarnation), new Pause(untilMillis, timeOfDayMillis.getAsLong()));
        removeOldest(newestPausesByTarget);
    }

    private Notice notice(String incarnation) {
        return notices.getOrDefault(incarnation, new Notice(false, Optional.empty()));
    }

    private void put(String incarnation, Notice notice) {
        notices.put(incarnation, notice);
        empty = false;
        removeOldest(notices);
    }

    private static void removeOldest(Map<String, ?> remembered) {
        if (remembered.size() > MAX_INCARNATIONS) {
            remembered.remove(remembered.keySet().iterator().next());
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
            long ownEndMillis = notice(incarnation).pausedUntilMillis().orElse(Long.MIN_VALUE);
            long endMillis = Math.max(ownEndMillis, pauseEndByTarget(incarnation));
            return endMillis == Long.MIN_VALUE ? Optional.empty() : Optional.of(clock.nowMillis() - endMillis);
        }
    }

    /** Returns the end of the pause that the process may have asked for before it was registered. */
    private long pauseEndByTarget(String incarnation) {
        return Optional.ofNullable(newestPausesByTarget.get(TargetRegistration.idOf(incarnation)))
                .filter(pause -> pause.askedAtTimeOfDay() + TIME_OF_DAY_TOLERANCE_MILLIS
                        >= TargetRegistration.startOf(incarnation))
                .map(Pause::untilMillis)
                .orElse(Long.MIN_VALUE);
    }
}
