package org.snipewind.coordination.ownership;

import java.util.LinkedHashMap;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Tracks, for a supervisor, until when the grant of one target is in force.
 *
 * <p>A grant request extends the latest possible end of the grant as soon as it begins, as it may take effect even if
 * its acknowledgement is lost. It extends the time until which the target is live only once it is acknowledged.
 */
public final class GrantTracker {

    // With a renewal every 250 ms this spans many grants; the acknowledgement of an older request extends nothing.
    private static final int MAX_TRACKED_REQUESTS = 64;
    private static final long NEVER = Long.MIN_VALUE;

    private final MillisClock clock;
    private final long grantMillis;
    private final long marginMillis;
    // Earliest possible end of a requested grant on the local clock, by its end on the target's clock. It has only
    // requests to the current incarnation.
    private final LinkedHashMap<Long, Long> liveUntilByGrantEnd = new LinkedHashMap<>();
    private Optional<ClockReading> newestReading = Optional.empty();
    private long liveUntilMillis = NEVER;
    private long latestPossibleEndMillis;
    private long lastGrantRequestMillis = NEVER;

    /** A reading of the target's clock, with the local times of sending the request and receiving the response. */
    private record ClockReading(String incarnation, long targetMillis, long sentAtMillis, long receivedAtMillis) {}

    /**
     * Creates a tracker for a supervisor that has just taken its role. The grant of its predecessor may still be in
     * force.
     *
     * @param clock the supervisor's clock
     * @param grantMillis duration of a grant, counted from the reading of the target's clock
     * @param marginMillis maximum drift between the two clocks over one grant
     */
    public GrantTracker(MillisClock clock, long grantMillis, long marginMillis) {
        this.clock = clock;
        this.grantMillis = grantMillis;
        this.marginMillis = marginMillis;
        // The predecessor may have received a reading just before it lost the role.
        latestPossibleEndMillis = clock.nowMillis() + grantMillis + marginMillis;
    }

    /**
     * Creates a tracker for a supervisor whose predecessor's grants have all ended, because they expired with its lease
     * or were released.
     *
     * @param clock the supervisor's clock
     * @param grantMillis duration of a grant, counted from the reading of the target's clock
     * @param marginMillis maximum drift between the two clocks over one grant
     * @return a tracker by which no grant is in force
     */
    public static GrantTracker withoutPredecessorGrant(MillisClock clock, long grantMillis, long marginMillis) {
        GrantTracker tracker = new GrantTracker(clock, grantMillis, marginMillis);
        tracker.latestPossibleEndMillis = clock.nowMillis();
        return tracker;
    }

    /**
     * Begins a grant request to the target.
     *
     * @return the end of the grant on the target's clock, or 0 while no reading of that clock is known
     */
    public synchronized long beginGrantRequest() {
        return beginGrantRequest(Long.MAX_VALUE);
    }

    /**
     * Begins a grant request to the target whose grant ends no later than the supervisor's right to act. The target
     * read its clock before the supervisor received the reading. Therefore the reading, plus the time that the
     * supervisor had left on receipt, is a time on the target's clock that is no later than the end of that right.
     *
     * @param supervisorEndMillis end of the supervisor's right to act, as a reading of its clock
     * @return the end of the grant on the target's clock, or 0 if no grant can be given
     */
    public synchronized long beginGrantRequest(long supervisorEndMillis) {
        lastGrantRequestMillis = clock.nowMillis();
        if (newestReading.isEmpty()) {
            return 0;
        }
        ClockReading reading = newestReading.get();
        long duration = supervisorEndMillis == Long.MAX_VALUE
                ? grantMillis
                : Math.min(grantMillis, supervisorEndMillis - reading.receivedAtMillis);
        if (duration <= 0) {
            return 0;
        }
        latestPossibleEndMillis = Math.max(latestPossibleEndMillis, reading.receivedAtMillis + duration + marginMillis);
        long end = reading.targetMillis + duration;
        liveUntilByGrantEnd.merge(end, reading.sentAtMillis + duration, Math::min);
        if (liveUntilByGrantEnd.size() > MAX_TRACKED_REQUESTS) {
            liveUntilByGrantEnd.remove(liveUntilByGrantEnd.keySet().iterator().next());
        }
        return end;
    }

    /**
     * Records the acknowledgement of a grant request.
     *
     * <p>An acknowledgement from another incarnation is ignored if its request was sent before the one that gave the
     * newest reading: it comes from an earlier incarnation.
     *
     * @param validUntilTargetMillis end of the grant in the request, on the target's clock
     * @param sentAtMillis local time at which the request was sent
     * @param targetMillis reading of the target's clock in the acknowledgement
     * @param incarnation the target's incarnation in the acknowledgement
     * @param accepted whether the target accepted the request
     * @return true if the target has a new incarnation
     */
    public synchronized boolean onAcknowledgement(
            long validUntilTargetMillis, long sentAtMillis, long targetMillis, String incarnation, boolean accepted) {
        ClockReading reading = new ClockReading(incarnation, targetMillis, sentAtMillis, clock.nowMillis());
        boolean incarnationChanged = newestReading
                .filter(known -> !known.incarnation.equals(incarnation))
                .isPresent();
        if (incarnationChanged && sentAtMillis < newestReading.get().sentAtMillis) {
            return false;
        }
        if (incarnationChanged) {
            newestReading = Optional.empty();
            liveUntilByGrantEnd.clear();
            liveUntilMillis = NEVER;
        }
        Long requestedUntil = liveUntilByGrantEnd.get(validUntilTargetMillis);
        if (!accepted) {
            liveUntilMillis = NEVER;
        } else if (requestedUntil != null) {
            liveUntilMillis = Math.max(liveUntilMillis, requestedUntil);
        }
        if (newestReading.isEmpty() || newestReading.get().targetMillis < targetMillis) {
            newestReading = Optional.of(reading);
        }
        return incarnationChanged;
    }

    /**
     * Returns whether the target is certain to hold its grant.
     *
     * @return true until the earliest possible end of an acknowledged grant
     */
    public synchronized boolean isLive() {
        return clock.nowMillis() < liveUntilMillis;
    }

    /**
     * Returns the time from which the target cannot hold a grant of any request begun so far.
     *
     * @return a reading of the supervisor's clock
     */
    public synchronized long latestPossibleEndMillis() {
        return latestPossibleEndMillis;
    }

    /**
     * Returns whether every grant that the target may hold has expired for certain.
     *
     * @return true if the latest possible end has passed
     */
    public synchronized boolean hasExpired() {
        return clock.nowMillis() >= latestPossibleEndMillis;
    }

    /**
     * Returns the time at which the newest grant request began.
     *
     * @return a reading of the supervisor's clock, or {@link Long#MIN_VALUE} before the first request
     */
    public synchronized long lastGrantRequestMillis() {
        return lastGrantRequestMillis;
    }

    /**
     * Returns the target's incarnation.
     *
     * @return the incarnation of the newest reading, or empty before the first acknowledgement
     */
    public synchronized Optional<String> incarnation() {
        return newestReading.map(ClockReading::incarnation);
    }
}
