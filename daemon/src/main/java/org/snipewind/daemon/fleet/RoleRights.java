package org.snipewind.daemon.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.record.RecordCache;

/** Tells whether this daemon may act in a role at this moment. */
public final class RoleRights {

    // A member's mark stands for 15 s before its removal, and the check that finds none may rest on a record that is 10
    // s
    // old. What is left, less a margin, is how long the result of a check holds.
    private static final long CHECK_HOLDS_MILLIS = LostLeaseGroupMonitor.REMOVAL_MARK_MILLIS
            - FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS
            - FleetTimes.HEARTBEAT_INTERVAL_MILLIS * 5;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final MemberLease lease;
    private final Set<String> relinquished = ConcurrentHashMap.newKeySet();
    private volatile boolean suspended;
    private volatile long checkedMillis;

    /**
     * Creates the rights of a member.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param lease lease of this daemon
     */
    public RoleRights(String memberId, MillisClock clock, RecordCache records, MemberLease lease) {
        this.memberId = memberId;
        this.clock = clock;
        this.checkedMillis = clock.nowMillis();
        this.records = records;
        this.lease = lease;
    }

    /**
     * Finds the fencing token under which this daemon may act now.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's, is being given away, or the lease is not valid
     */
    public Optional<Long> activeToken(String role) {
        return lease.isValid() ? assignedToken(role) : Optional.empty();
    }

    /**
     * Finds the fencing token of a role without regard to the lease.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's or is being given away
     */
    public Optional<Long> assignedToken(String role) {
        if (isSuspended() || relinquished.contains(role)) {
            return Optional.empty();
        }
        return records.fleet().tokenOf(role, memberId);
    }

    /**
     * Finds the fencing token of a role that this daemon holds and is giving away.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's or not being given away, or the lease is not valid
     */
    public Optional<Long> relinquishedToken(String role) {
        return relinquished.contains(role) && lease.isValid() ? recordedToken(role) : Optional.empty();
    }

    /**
     * Finds the fencing token of a role that the fleet record gives to this daemon.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's
     */
    public Optional<Long> recordedToken(String role) {
        return records.fleet().tokenOf(role, memberId);
    }

    /**
     * Gives the end of this daemon's right to act.
     *
     * @return reading of the clock at which the lease ends unless it is renewed
     */
    public long validUntilMillis() {
        return lease.validUntilMillis();
    }

    /**
     * Tells whether the lease is valid and this daemon is a member.
     *
     * @return true if this daemon may act as a member
     */
    public boolean isActiveMember() {
        return !isSuspended()
                && lease.isValid()
                && records.fleet().member(memberId).isPresent();
    }

    /**
     * Stops acting in a role until {@link #reclaim} is called.
     *
     * @param role name of the role
     */
    public void relinquish(String role) {
        relinquished.add(role);
    }

    /**
     * Allows a role again after it was not given away.
     *
     * @param role name of the role
     */
    public void reclaim(String role) {
        relinquished.remove(role);
    }

    /**
     * Sets whether the rules of membership forbid this daemon to act at all; the answer holds only for some seconds, so
     * that a process that was paused acts in no role before it has checked again.
     *
     * @param value true to act in no role
     */
    public void setSuspended(boolean value) {
        suspended = value;
        checkedMillis = clock.nowMillis();
    }

    private boolean isSuspended() {
        return suspended || clock.nowMillis() - checkedMillis > CHECK_HOLDS_MILLIS;
    }
}
