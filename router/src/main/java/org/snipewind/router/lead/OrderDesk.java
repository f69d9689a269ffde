package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetEntry;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.log.DecisionLog;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.port.KeyOrders;

/** Sends the orders of a pool: renewals of grants, and the release and grant of a move. Belongs to the control loop. */
final class OrderDesk {

    private static final long RETRY_MILLIS = 200;

    private final String pool;
    private final KeyOrders orders;
    private final MillisClock clock;
    private final DecisionLog log;
    private final BooleanSupplier leading;
    private final Runnable onFenced;

    OrderDesk(
            String pool,
            KeyOrders orders,
            MillisClock clock,
            DecisionLog log,
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
    void renew(KeyTable table, List<MoveTask> tasks, Map<String, HolderSession> sessions, long now) {
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
            HolderSession session = sessions.get(life);
            if (session != null && session.entry().isPresent() && session.isRenewalDue(now)) {
                session.scheduleRenewal(now + LeaderTimes.GRANT_RENEWAL_MILLIS);
                renewNext(session, session.entry().get(), ranges.iterator());
            }
        });
    }

    /** One order after the other, so that a target needs only one connection for them. */
    private void renewNext(HolderSession session, TargetEntry entry, Iterator<KeyAssignment> rest) {
        if (!rest.hasNext() || !leading.getAsBoolean()) {
            return;
        }
        KeyAssignment range = rest.next();
        session.grantSent();
        orders.grant(entry, range, LeaderTimes.HOLD_MILLIS, Optional.empty()).whenComplete((accepted, failure) -> {
            if (!finish(session, range, accepted, failure)) {
                return;
            }
            if (rest.hasNext()) {
                renewNext(session, entry, rest);
            } else {
                session.acknowledged(clock.nowMillis());
            }
        });
    }

    private static boolean mayHaveArrived(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return !(cause instanceof ExchangeException exchange) || exchange.isSent();
    }

    /** Takes the outcome of a grant; tells whether the target accepted it. */
    private boolean finish(HolderSession session, KeyAssignment range, Boolean accepted, Throwable failure) {
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

    /** Asks a silent target whether it answers again. */
    void probe(HolderSession session, String healthPath, long now) {
        session.probeSent(now);
        orders.probe(session.entry().orElseThrow(), healthPath).whenComplete((healthy, failure) -> {
            if (failure == null && healthy) {
                session.answers();
            }
        });
    }

    /** Takes the next step of a move. */
    void advance(MoveTask task, Map<String, HolderSession> sessions, long now) {
        if (task.isDropped() || task.isSuspended() || task.isGranted() || !leading.getAsBoolean()) {
            return;
        }
        for (String life : task.unfreed(now)) {
            HolderSession session = sessions.get(life);
            if (session != null && session.entry().isPresent() && !session.isBusy() && task.mayAsk(life, now)) {
                release(task, session, sessions);
            }
        }
        if (task.mayGrant(now)) {
            HolderSession session = sessions.get(task.assignment().holder());
            if (session != null && session.entry().isPresent()) {
                grant(task, session);
            }
        }
    }

    private void release(MoveTask task, HolderSession session, Map<String, HolderSession> sessions) {
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

    private void grant(MoveTask task, HolderSession session) {
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
