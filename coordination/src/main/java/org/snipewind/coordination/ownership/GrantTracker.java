package org.snipewind.coordination.ownership;

import java.util.LinkedHashMap;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;

/**
 * The supervisor's view of the grant of one target.
 *
 * <p>An order counts towards the certain end from the moment it begins, as it may take effect although its
 * acknowledgement is lost. It counts as live only once it is acknowledged.
 */
public final class GrantTracker {

    // At a renewal every 250 ms this spans many grants; an acknowledgement of an older order extends nothing.
    private static final int REMEMBERED_ORDERS = 64;
    private static final long NEVER = Long.MIN_VALUE;

    private final MillisClock clock;
    private final long grantMillis;
    private final long marginMillis;
    // Earliest local end of the grant that an order gives, by the end that it carries; only of the present incarnation.
    private final LinkedHashMap<Long, Long> liveUntilByEnd = new LinkedHashMap<>();
    private Optional<Reading> newest = Optional.empty();
    private long liveUntil = NEVER;
    private long certainEnd;
    private long lastOrder = NEVER;

    /** A reading of the target's clock and the local times around it. */
    private record Reading(String incarnation, long targetMillis, long sentAt, long receivedAt) {}

    /**
     * Creates the view of a supervisor that has just got its role.
     *
     * @param clock the supervisor's clock
     * @param grantMillis length of a grant from the reading of the target's clock
     * @param marginMillis bound of the clocks' error over one grant
     */
    public GrantTracker(MillisClock clock, long grantMillis, long marginMillis) {
        this.clock = clock;
        this.grantMillis = grantMillis;
        this.marginMillis = marginMillis;
        // The predecessor may have received a reading just before it lost the role.
        certainEnd = clock.nowMillis() + grantMillis + marginMillis;
    }

    /**
     * Creates the view of a supervisor whose predecessor's grants have all ended, because they ended with its lease or
     * were released.
     *
     * @param clock the supervisor's clock
     * @param grantMillis length of a grant from the reading of the target's clock
     * @param marginMillis bound of the clocks' error over one grant
     * @return a view in which no grant is in force
     */
    public static GrantTracker withoutPredecessorGrant(MillisClock clock, long grantMillis, long marginMillis) {
        GrantTracker grant = new GrantTracker(clock, grantMillis, marginMillis);
        grant.certainEnd = clock.nowMillis();
        return grant;
    }

    /**
     * Begins an order to the target.
     *
     * @return the end of the grant on the target's clock, or 0 while no reading of that clock is known
     */
    public synchronized long beginGrantRequest() {
        return beginGrantRequest(Long.MAX_VALUE);
    }

    /**
     * Begins an order to the target whose grant ends no later than the supervisor's right to act. The target took its
     * reading before the supervisor received it, so the time that remains to the supervisor from then on, added to the
     * reading, is a bound on the target's clock.
     *
     * @param supervisorEndMillis end of the supervisor's right to act, as a reading of its clock
     * @return the end of the grant on the target's clock, or 0 while no grant can be given
     */
    public synchronized long beginGrantRequest(long supervisorEndMillis) {
        lastOrder = clock.nowMillis();
        if (newest.isEmpty()) {
            return 0;
        }
        Reading reading = newest.get();
        long duration = supervisorEndMillis == Long.MAX_VALUE
                ? grantMillis
                : Math.min(grantMillis, supervisorEndMillis - reading.receivedAt);
        if (duration <= 0) {
            return 0;
        }
        certainEnd = Math.max(certainEnd, reading.receivedAt + duration + marginMillis);
        long end = reading.targetMillis + duration;
        liveUntilByEnd.merge(end, reading.sentAt + duration, Math::min);
        if (liveUntilByEnd.size() > REMEMBERED_ORDERS) {
            liveUntilByEnd.remove(liveUntilByEnd.keySet().iterator().next());
        }
        return end;
    }

    /**
     * Records the acknowledgement of an order.
     *
     * <p>A call that was sent before the one that yielded the newest reading does not change the incarnation: it was
     * answered by an earlier run of the target.
     *
     * @param validUntilTargetMillis the end of the grant that the order carried
     * @param sentAtMillis local time at which the order was sent
     * @param targetMillis reading of the target's clock in the acknowledgement
     * @param incarnation the target's incarnation in the acknowledgement
     * @param accepted whether the target took the order
     * @return true if the target is another incarnation than before
     */
    public synchronized boolean onAcknowledgement(
            long validUntilTargetMillis, long sentAtMillis, long targetMillis, String incarnation, boolean accepted) {
        Reading reading = new Reading(incarnation, targetMillis, sentAtMillis, clock.nowMillis());
        boolean changed = newest.filter(present -> !present.incarnation.equals(incarnation))
                .isPresent();
        if (changed && sentAtMillis < newest.get().sentAt) {
            return false;
        }
        if (changed) {
            newest = Optional.empty();
            liveUntilByEnd.clear();
            liveUntil = NEVER;
        }
        Long orderedUntil = liveUntilByEnd.get(validUntilTargetMillis);
        if (!accepted) {
            liveUntil = NEVER;
        } else if (orderedUntil != null) {
            liveUntil = Math.max(liveUntil, orderedUntil);
        }
        if (newest.isEmpty() || newest.get().targetMillis < targetMillis) {
            newest = Optional.of(reading);
        }
        return changed;
    }

    /**
     * Tells whether the target certainly holds its grant.
     *
     * @return true until the earliest possible end of an acknowledged grant
     */
    public synchronized boolean isLive() {
        return clock.nowMillis() < liveUntil;
    }

    /**
     * Gives the time after which the target cannot hold a grant of any order begun so far.
     *
     * @return a reading of the supervisor's clock
     */
    public synchronized long latestPossibleEndMillis() {
        return certainEnd;
    }

    /**
     * Tells whether the target cannot hold a grant any more.
     *
     * @return true if the certain end has passed
     */
    public synchronized boolean hasExpired() {
        return clock.nowMillis() >= certainEnd;
    }

    /**
     * Gives the time at which the newest order began.
     *
     * @return a reading of the supervisor's clock, or {@link Long#MIN_VALUE} before the first order
     */
    public synchronized long lastGrantRequestMillis() {
        return lastOrder;
    }

    /**
     * Gives the target's incarnation.
     *
     * @return the incarnation of the newest reading, or empty before the first acknowledgement
     */
    public synchronized Optional<String> incarnation() {
        return newest.map(Reading::incarnation);
    }
}
