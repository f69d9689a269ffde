package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.KeyOwnershipClient;

/** Sends the orders of a pool: renewals of grants, and the release and grant of a move. Belongs to the control loop. */
final class OwnershipRequestSender {

    private static final long RETRY_MILLIS = 200;

    private final String pool;
    private final KeyOwnershipClient orders;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final BooleanSupplier leading;
    private final Runnable onFenced;

    OwnershipRequestSender(
            String pool,
            KeyOwnershipClient orders,
            MillisClock clock,
            RouterEventLog log,
            BooleanSupplier leading,
            Runnable onFenced) {
        this.pool = pool;
        this.orders = orders;
        this.clock = clock;
        this.log = log;
        this.leading = leading;
        this.onFenced = onFenced;
    }

    /** Renews the grants that are due. */
    void renew(
            KeyTable table,
            List<MoveTask> tasks,
            Map<String, HolderState> sessions,
            Predicate<KeyAssignment> isHeld,
            long now) {
        Map<String, List<KeyAssignment>> held = new HashMap<>();
        for (KeyAssignment each : table.assignments()) {
            if (!each.isMoving()) {
                held.computeIfAbsent(each.holder(), life -> new ArrayList<>()).add(each);
            }
        }
        for (MoveTask task : tasks) {
            if (task.isGranted() && !task.isSuspended()) {
                held.computeIfAbsent(task.assignment().holder(), life -> new ArrayList<>())
                        .add(task.assignment());
            }
        }
        held.forEach((life, ranges) -> {
            HolderState session = sessions.get(life);
            if (session != null && session.entry().isPresent() && session.isRenewalDue(now)) {
                session.scheduleRenewal(now + LeaderTimes.GRANT_RENEWAL_INTERVAL_MILLIS);
                renewNext(session, session.entry().get(), ranges.iterator(), isHeld);
            }
        });
    }

    /**
     * One order after the other, so that a target needs only one connection for them. The table may change meanwhile,
     * and a range that is on its way to another holder by then must not be granted again.
     */
    private void renewNext(
            HolderState session,
            TargetRegistration entry,
            Iterator<KeyAssignment> rest,
            Predicate<KeyAssignment> isHeld) {
        KeyAssignment range = null;
        while (range == null && rest.hasNext()) {
            KeyAssignment next = rest.next();
            range = isHeld.test(next) ? next : null;
        }
        if (range == null || !leading.getAsBoolean()) {
            return;
        }
        KeyAssignment renewed = range;
        session.grantSent();
        orders.grant(entry, renewed, LeaderTimes.HOLD_MILLIS, Optional.empty()).whenComplete((accepted, failure) -> {
            if (!finish(session, renewed, accepted, failure)) {
                return;
            }
            if (rest.hasNext()) {
                renewNext(session, entry, rest, isHeld);
            } else {
                session.acknowledged(clock.nowMillis());
            }
        });
    }

    private static boolean mayHaveArrived(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return !(cause instanceof ExchangeException exchange) || exchange.isPossiblySent();
    }

    /** Takes the outcome of a grant; tells whether the target accepted it. */
    private boolean finish(HolderState session, KeyAssignment range, Boolean accepted, Throwable failure) {
        long now = clock.nowMillis();
        session.grantEnded(now, failure == null, mayHaveArrived(failure));
        if (failure != null) {
            log.write(
                    RouterEvent.HOLDER_SILENT,
                    () -> "pool=" + pool + " target=" + session.life() + " order=grant from=" + range.from() + " epoch="
                            + range.epoch() + " cause=" + failure.getMessage());
            return false;
        }
        if (!accepted) {
            log.write(
                    RouterEvent.HOLDER_FENCED,
                    () -> "pool=" + pool + " target=" + session.life() + " from=" + range.from() + " to=" + range.to()
                            + " epoch=" + range.epoch());
            onFenced.run();
            return false;
        }
        return true;
    }

    /** Asks a failing target whether it answers again. */
    void probe(HolderState session, String healthPath, long now) {
        session.probeSent(now);
        orders.probe(session.entry().orElseThrow(), healthPath).whenComplete((present, failure) -> {
            if (failure == null && present) {
                session.answers();
            }
        });
    }

    /** Takes the next step of a move. */
    void advance(MoveTask task, Map<String, HolderState> sessions, long now) {
        if (task.isDropped() || task.isSuspended() || task.isGranted() || !leading.getAsBoolean()) {
            return;
        }
        for (String life : task.unfreed(now)) {
            HolderState session = sessions.get(life);
            if (session != null && session.entry().isPresent() && !session.isBusy() && task.mayAsk(life, now)) {
                release(task, session, sessions);
            }
        }
        if (task.mayGrant(now)) {
            HolderState session = sessions.get(task.assignment().holder());
            if (session != null && session.entry().isPresent()) {
                grant(task, session);
            }
        }
    }

    private void release(MoveTask task, HolderState session, Map<String, HolderState> sessions) {
        task.asked(session.life());
        orders.release(session.entry().orElseThrow(), task.assignment()).whenComplete((handover, failure) -> {
            long now = clock.nowMillis();
            if (failure == null) {
                task.released(session.life(), handover);
            } else {
                task.notReleased(session.life(), now + RETRY_MILLIS);
                log.write(
                        RouterEvent.HOLDER_SILENT,
                        () -> "pool=" + pool + " target=" + session.life() + " order=release from="
                                + task.assignment().from() + " epoch="
                                + task.assignment().epoch() + " cause=" + failure.getMessage());
            }
            advance(task, sessions, now);
        });
    }

    private void grant(MoveTask task, HolderState session) {
        task.granting();
        session.grantSent();
        orders.grant(session.entry().orElseThrow(), task.assignment(), LeaderTimes.HOLD_MILLIS, task.handover())
                .whenComplete((accepted, failure) -> {
                    if (finish(session, task.assignment(), accepted, failure)) {
                        task.granted();
                    } else {
                        task.notGranted(clock.nowMillis() + RETRY_MILLIS);
                    }
                });
    }
}
