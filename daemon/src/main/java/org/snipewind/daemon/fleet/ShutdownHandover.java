package org.snipewind.daemon.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;

/** Hands over all roles of this daemon at shutdown, each as soon as it is idle, and then leaves the fleet. */
public final class ShutdownHandover {

    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long MIN_WRITE_TIMEOUT_MILLIS = 200;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RoleRequirements requirements;
    private final RoleRights rights;
    private final RoleActivity activity;
    private final Membership membership;
    private final EventLog log;

    /**
     * Creates the handover of a daemon that shuts down.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration requires
     * @param rights rights of this daemon
     * @param activity tells whether a role has work in progress
     * @param membership membership of this daemon, ended after the handover
     * @param log the event log
     */
    public ShutdownHandover(
            String memberId,
            MillisClock clock,
            RecordCache records,
            RecordUpdater updater,
            RoleRequirements requirements,
            RoleRights rights,
            RoleActivity activity,
            Membership membership,
            EventLog log) {
        this.memberId = memberId;
        this.clock = clock;
        this.records = records;
        this.updater = updater;
        this.requirements = requirements;
        this.rights = rights;
        this.activity = activity;
        this.membership = membership;
        this.log = log;
    }

    /**
     * Hands over the roles and leaves the fleet; blocks until the leave is written or the timeout has expired.
     *
     * @param timeoutMillis timeout in milliseconds; a write that has begun gets at least 200 ms
     */
    public void run(long timeoutMillis) {
        long endMillis = clock.nowMillis() + timeoutMillis;
        records.fleet().rolesOf(memberId).forEach(rights::relinquish);
        try {
            if (handOverIdleRoles(endMillis)) {
                awaitWrite(membership.leave(), endMillis);
            } else {
                // A grant may still be valid. It expires with the lease, after which the peers remove this member.
                log.write(
                        LogEvent.LEAVE_NOT_WRITTEN,
                        "roles of " + memberId + " are still in use at the end of the shutdown grace period");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            log.write(LogEvent.LEAVE_NOT_WRITTEN, "could not leave the fleet; peers will remove " + memberId, e);
        }
    }

    /**
     * Hands over roles as they become idle, and returns whether all were handed over or, if there
     * are no other members, are idle.
     */
    private boolean handOverIdleRoles(long endMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        List<String> held = records.fleet().rolesOf(memberId);
        while (!held.isEmpty() && clock.nowMillis() < endMillis) {
            held.forEach(rights::relinquish);
            Set<String> idle = new HashSet<>(held);
            idle.removeIf(role -> !activity.isIdle(role));
            boolean lastMember = records.fleet().members().size() == 1;
            if (lastMember && idle.size() == held.size()) {
                return true;
            }
            if (lastMember || idle.isEmpty()) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } else {
                awaitWrite(
                        updater.update(
                                RecordType.FLEET,
                                (current, writer) ->
                                        FleetTransitions.handOver(current, memberId, idle, requirements.all(), writer)),
                        endMillis);
            }
            held = records.fleet().rolesOf(memberId);
        }
        return held.isEmpty();
    }

    private void awaitWrite(CompletableFuture<Boolean> write, long endMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        write.get(Math.max(MIN_WRITE_TIMEOUT_MILLIS, endMillis - clock.nowMillis()), TimeUnit.MILLISECONDS);
    }
}
