package org.snipewind.daemon.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.record.RecordCache;

/** Determines in which roles this daemon may act at this moment. */
public final class RoleRights {

    // A member is removed only after its removal mark has existed for 15 s, and a check that finds no mark may use a
    // record that is 10 s old. The difference, less a margin, is how long the result of a check is valid.
    private static final long CHECK_VALIDITY_MILLIS = LostLeaseGroupMonitor.REMOVAL_MARK_MILLIS
            - FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS
            - FleetTimes.HEARTBEAT_INTERVAL_MILLIS * 5;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final MemberLease lease;
    private final Set<String> relinquished = ConcurrentHashMap.newKeySet();
    private volatile boolean suspended;
    private volatile long lastCheckMillis;

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
        this.lastCheckMillis = clock.nowMillis();
        this.records = records;
        this.lease = lease;
    }

    /**
     * Returns the fencing token with which this daemon may act in a role now.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's or relinquished, the lease is not valid, or the rights are
     *     suspended
     */
    public Optional<Long> activeToken(String role) {
        return lease.isValid() ? assignedToken(role) : Optional.empty();
    }

    /**
     * Returns the fencing token of a role without regard to the lease.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's or relinquished, or the rights are suspended
     */
    public Optional<Long> assignedToken(String role) {
        if (isSuspended() || relinquished.contains(role)) {
            return Optional.empty();
        }
        return records.fleet().tokenOf(role, memberId);
    }

    /**
     * Returns the fencing token of a role that this daemon still holds but has relinquished.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's or not relinquished, or the lease is not valid
     */
    public Optional<Long> relinquishedToken(String role) {
        return relinquished.contains(role) && lease.isValid() ? recordedToken(role) : Optional.empty();
    }

    /**
     * Returns the fencing token of a role that the fleet record assigns to this daemon.
     *
     * @param role name of the role
     * @return the token, or empty if the role is another's
     */
    public Optional<Long> recordedToken(String role) {
        return records.fleet().tokenOf(role, memberId);
    }

    /**
     * Returns the time at which this daemon's right to act ends.
     *
     * @return time on the clock of this daemon at which the lease expires unless it is renewed
     */
    public long validUntilMillis() {
        return lease.validUntilMillis();
    }

    /**
     * Returns whether the lease is valid and this daemon is a member.
     *
     * @return true if this daemon may act as a member
     */
    public boolean isActiveMember() {
        return !isSuspended()
                && lease.isValid()
                && records.fleet().member(memberId).isPresent();
    }

    /**
     * Stops this daemon from acting in a role until {@link #reclaim} is called.
     *
     * @param role name of the role
     */
    public void relinquish(String role) {
        relinquished.add(role);
    }

    /**
     * Allows this daemon to act in a relinquished role again, if it still holds it.
     *
     * @param role name of the role
     */
    public void reclaim(String role) {
        relinquished.remove(role);
    }

    /**
     * Sets whether this daemon must not act in any role. The value is valid only for some seconds, so that a process
     * that was paused acts in no role before it has checked again.
     *
     * @param value true to act in no role
     */
    public void setSuspended(boolean value) {
        suspended = value;
        lastCheckMillis = clock.nowMillis();
    }

    private boolean isSuspended() {
        return suspended || clock.nowMillis() - lastCheckMillis > CHECK_VALIDITY_MILLIS;
    }
}
