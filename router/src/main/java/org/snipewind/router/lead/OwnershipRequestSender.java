package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.KeyOwnershipClient;

/**
 * Sends the ownership requests of a pool to its targets: renewals of grants, and the releases and grants of key moves.
 * Confined to the control event loop.
 */
final class OwnershipRequestSender {

    private static final long RETRY_DELAY_MILLIS = 200;

    private final String pool;
    private final KeyOwnershipClient client;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final BooleanSupplier leading;
    private final LongSupplier highestEpoch;
    private final Runnable onEpochsNeeded;

    OwnershipRequestSender(
            String pool,
            KeyOwnershipClient client,
            MillisClock clock,
            RouterEventLog log,
            BooleanSupplier leading,
            LongSupplier highestEpoch,
            Runnable onEpochsNeeded) {
        this.pool = pool;
        this.client = client;
        this.clock = clock;
        this.log = log;
        this.leading = leading;
        this.highestEpoch = highestEpoch;
        this.onEpochsNeeded = onEpochsNeeded;
    }

    /** Renews the grants of all holders whose renewal is due. */
    void renewGrants(
            KeyTable table,
            List<MoveTask> tasks,
            Map<String, HolderState> holders,
            Predicate<KeyAssignment> isStillHeld,
            long now) {
        Map<String, List<KeyAssignment>> rangesByHolder = new HashMap<>();
        for (KeyAssignment assignment : table.assignments()) {
            if (!assignment.isMoving()) {
                rangesByHolder
                        .computeIfAbsent(assignment.holder(), incarnation -> new ArrayList<>())
                        .add(assignment);
            }
        }
        for (MoveTask task : tasks) {
            if (task.isGranted() && !task.isSuspended()) {
                rangesByHolder
                        .computeIfAbsent(task.assignment().holder(), incarnation -> new ArrayList<>())
                        .add(task.assignment());
            }
        }
        rangesByHolder.forEach((incarnation, ranges) -> {
            HolderState holder = holders.get(incarnation);
            if (holder != null && holder.registration().isPresent() && holder.isRenewalDue(now)) {
                holder.scheduleRenewal(now + LeaderTimes.GRANT_RENEWAL_INTERVAL_MILLIS);
                renewNextGrant(holder, holder.registration().get(), ranges.iterator(), isStillHeld, true);
            }
        });
    }

    /**
     * Renews the grant of the next range of a holder. Renewals of one holder are sent one after another, so that they
     * need only one connection. The table may change in the meantime, and a range that is being moved to another holder
     * by then must not be granted again. The renewals go on after a response that can't be used, since the target is
     * there and would lose its other keys, but not after a missing one, which would delay them.
     */
    private void renewNextGrant(
            HolderState holder,
            TargetRegistration registration,
            Iterator<KeyAssignment> remaining,
            Predicate<KeyAssignment> isStillHeld,
            boolean allAcknowledged) {
        KeyAssignment range = null;
        while (range == null && remaining.hasNext()) {
            KeyAssignment next = remaining.next();
            range = isStillHeld.test(next) ? next : null;
        }
        if (range == null || !leading.getAsBoolean()) {
            return;
        }
        KeyAssignment renewed = range;
        holder.recordGrantSent();
        start(() -> grant(holder, registration, renewed, Optional.empty())).whenComplete((accepted, failure) -> {
            boolean acknowledged = recordGrantOutcome(holder, renewed, accepted, failure);
            if (!acknowledged && !isResponseUnusable(failure)) {
                return;
            }
            if (remaining.hasNext()) {
                renewNextGrant(holder, registration, remaining, isStillHeld, allAcknowledged && acknowledged);
            } else if (allAcknowledged && acknowledged) {
                holder.recordAllGrantsAcknowledged(clock.nowMillis());
            }
        });
    }

    private CompletableFuture<Boolean> grant(
            HolderState holder, TargetRegistration registration, KeyAssignment range, Optional<String> handover) {
        long highestEpochNow = highestEpoch.getAsLong();
        return client.grant(
                registration,
                range,
                connection -> chooseEpoch(holder, range, highestEpochNow, connection),
                LeaderTimes.GRANT_LIFETIME_MILLIS,
                handover);
    }

    private OptionalLong chooseEpoch(HolderState holder, KeyAssignment range, long decidedAtEpoch, long connection) {
        boolean reconnected = holder.usesOtherConnection(connection);
        OptionalLong epoch = holder.epochOn(connection, range.epoch(), decidedAtEpoch);
        if (epoch.isEmpty() && decidedAtEpoch == highestEpoch.getAsLong()) {
            onEpochsNeeded.run();
        } else if (reconnected && epoch.isPresent()) {
            log.write(
                    RouterEvent.HOLDER_RECONNECTED,
                    () -> "pool=" + pool + " target=" + holder.incarnation() + " from=" + range.from() + " epoch="
                            + epoch.getAsLong());
        }
        return epoch;
    }

    /**
     * Starts a request. One that can't be started counts as failed, so that it neither stays in flight forever nor
     * ends the requests to other targets. It may have arrived, since it is unknown where it failed.
     */
    private static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> request) {
        try {
            return request.get();
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            return CompletableFuture.failedFuture(new ExchangeException("the request failed to start: " + e, true));
        }
    }

    private static boolean mayHaveArrived(Throwable failure) {
        return exchangeFailure(failure).map(ExchangeException::isPossiblySent).orElse(true);
    }

    private static boolean isResponseUnusable(Throwable failure) {
        return exchangeFailure(failure)
                .map(ExchangeException::isResponseUnusable)
                .orElse(false);
    }

    private static Optional<ExchangeException> exchangeFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ExchangeException exchange ? Optional.of(exchange) : Optional.empty();
    }

    /** Records the outcome of a grant and returns whether the target accepted it. */
    private boolean recordGrantOutcome(HolderState holder, KeyAssignment range, Boolean accepted, Throwable failure) {
        long now = clock.nowMillis();
        holder.recordGrantEnded(now, failure == null, mayHaveArrived(failure));
        if (failure != null) {
            log.write(
                    RouterEvent.HOLDER_SILENT,
                    () -> "pool=" + pool + " target=" + holder.incarnation() + " order=grant from=" + range.from()
                            + " epoch=" + range.epoch() + " cause=" + failure.getMessage());
            return false;
        }
        if (!accepted) {
            log.write(
                    RouterEvent.HOLDER_FENCED,
                    () -> "pool=" + pool + " target=" + holder.incarnation() + " from=" + range.from() + " to="
                            + range.to() + " epoch=" + range.epoch());
            onEpochsNeeded.run();
            return false;
        }
        return true;
    }

    /** Checks whether failing targets respond again. */
    void probeFailing(Collection<HolderState> holders, Predicate<HolderState> inService, String healthPath, long now) {
        holders.stream()
                .filter(holder -> holder.isProbeDue(now) && inService.test(holder))
                .forEach(holder -> probe(holder, healthPath, now));
    }

    private void probe(HolderState holder, String healthPath, long now) {
        holder.recordProbeSent(now);
        start(() -> client.probe(holder.registration().orElseThrow(), healthPath))
                .whenComplete((reachable, failure) -> {
                    if (failure == null && reachable) {
                        holder.recordReachable();
                    }
                });
    }

    /** Requests the releases of a move that are outstanding, or its grant once there are none. */
    void advanceMove(MoveTask task, Map<String, HolderState> holders, long now) {
        if (task.isCancelled() || task.isSuspended() || task.isGranted() || !leading.getAsBoolean()) {
            return;
        }
        for (String incarnation : task.unreleasedHolders(now)) {
            HolderState holder = holders.get(incarnation);
            if (holder != null
                    && holder.registration().isPresent()
                    && !holder.hasGrantInFlight()
                    && task.mayRequestRelease(incarnation, now)) {
                requestRelease(task, holder, holders);
            }
        }
        if (task.mayRequestGrant(now)) {
            HolderState holder = holders.get(task.assignment().holder());
            if (holder != null && holder.registration().isPresent()) {
                requestGrant(task, holder);
            }
        }
    }

    private void requestRelease(MoveTask task, HolderState holder, Map<String, HolderState> holders) {
        task.recordReleaseRequested(holder.incarnation());
        start(() -> client.release(holder.registration().orElseThrow(), task.assignment()))
                .whenComplete((handover, failure) -> {
                    long now = clock.nowMillis();
                    if (failure == null) {
                        task.recordReleased(holder.incarnation(), handover);
                    } else {
                        task.recordReleaseFailed(holder.incarnation(), now + RETRY_DELAY_MILLIS);
                        log.write(
                                RouterEvent.HOLDER_SILENT,
                                () -> "pool=" + pool + " target=" + holder.incarnation() + " order=release from="
                                        + task.assignment().from() + " epoch="
                                        + task.assignment().epoch() + " cause=" + failure.getMessage());
                    }
                    advanceMove(task, holders, now);
                });
    }

    private void requestGrant(MoveTask task, HolderState holder) {
        task.recordGrantRequested();
        holder.recordGrantSent();
        start(() -> grant(holder, holder.registration().orElseThrow(), task.assignment(), task.handover()))
                .whenComplete((accepted, failure) -> {
                    if (recordGrantOutcome(holder, task.assignment(), accepted, failure)) {
                        task.recordGranted();
                    } else {
                        task.recordGrantFailed(clock.nowMillis() + RETRY_DELAY_MILLIS);
                    }
                });
    }
}
