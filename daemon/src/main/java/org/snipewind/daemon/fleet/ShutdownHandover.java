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

/** Gives all roles away at shutdown, each as soon as no work goes on under it, and leaves the fleet. */
public final class ShutdownHandover {

    private static final long STEP_MILLIS = 10;
    private static final long SHORTEST_WAIT_MILLIS = 200;

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
     * Creates a departure.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration asks for
     * @param rights rights of this daemon
     * @param activity tells whether work goes on under a role
     * @param membership the membership that ends
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
     * Departs; blocks until the leave is written or the time is over.
     *
     * @param longestMillis longest time in milliseconds
     */
    public void run(long longestMillis) {
        long end = clock.nowMillis() + longestMillis;
        records.fleet().rolesOf(memberId).forEach(rights::relinquish);
        try {
            if (giveAwayIdleRoles(end)) {
                await(membership.leave(), end);
            } else {
                // A grant may still be in force; it ends with the lease, after which peers remove this member.
                log.write(LogEvent.LEAVE_NOT_WRITTEN, "work of " + memberId + " goes on at the end of the grace");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            log.write(LogEvent.LEAVE_NOT_WRITTEN, "peers will remove " + memberId, e);
        }
    }

    /** Gives roles away as they become idle, and tells whether no work is left under any role. */
    private boolean giveAwayIdleRoles(long end) throws InterruptedException, ExecutionException, TimeoutException {
        List<String> held = records.fleet().rolesOf(memberId);
        while (!held.isEmpty() && clock.nowMillis() < end) {
            held.forEach(rights::relinquish);
            Set<String> idle = new HashSet<>(held);
            idle.removeIf(role -> !activity.isIdle(role));
            boolean alone = records.fleet().members().size() == 1;
            if (alone && idle.size() == held.size()) {
                return true;
            }
            if (alone || idle.isEmpty()) {
                Thread.sleep(STEP_MILLIS);
            } else {
                await(
                        updater.update(
                                RecordType.FLEET,
                                (current, writer) ->
                                        FleetTransitions.handOver(current, memberId, idle, requirements.all(), writer)),
                        end);
            }
            held = records.fleet().rolesOf(memberId);
        }
        return held.isEmpty();
    }

    private void await(CompletableFuture<Boolean> write, long end)
            throws InterruptedException, ExecutionException, TimeoutException {
        write.get(Math.max(SHORTEST_WAIT_MILLIS, end - clock.nowMillis()), TimeUnit.MILLISECONDS);
    }
}
