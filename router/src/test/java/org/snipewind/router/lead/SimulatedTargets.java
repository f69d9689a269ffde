package org.snipewind.router.lead;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.port.KeyOwnershipClient;

/** Targets that hold keys by a clock that runs 2% slow; orders are delayed, lost, or carried out without an answer. */
final class SimulatedTargets implements KeyOwnershipClient {

    /** How orders go wrong. */
    record Faults(double lostShare, double unansweredShare, int longestDelayMillis) {}

    private record Hold(int from, int to, long epoch, long endsAtMillis) {}

    private record Noted(int from, int to, String text) {}

    private record Delivery(long atMillis, Runnable action) {}

    /** Epochs seen and keys held by one target. */
    private static final class Target {
        private final List<Hold> holds = new ArrayList<>();
        private final long[] epochs = new long[KeyTable.LAST_KEY + 1];
        private boolean down;
        private boolean crashed;
        private int process;
    }

    private static final int HISTORY = 2_000;

    private final Deque<Noted> history = new ArrayDeque<>();
    private final ManualMillisClock clock;
    private final Random random;
    private final Map<String, Target> targets = new HashMap<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private Faults faults = new Faults(0, 0, 5);

    SimulatedTargets(ManualMillisClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void setFaults(Faults newFaults) {
        faults = newFaults;
    }

    /** Ends the process of a target: it takes no orders, holds nothing and forgets the epochs that it saw. */
    void crash(String id) {
        Target target = target(id);
        target.down = true;
        target.crashed = true;
        target.process++;
        target.holds.clear();
        Arrays.fill(target.epochs, 0);
    }

    boolean hasCrashed(String id) {
        return target(id).crashed;
    }

    boolean isDown(String id) {
        return target(id).down;
    }

    /** A target that is cut off takes no orders and goes on to hold its keys. */
    void setCutOff(String id, boolean cutOff) {
        Target target = target(id);
        target.down = cutOff;
        target.crashed &= cutOff;
    }

    /** Lists the newest orders, so that a failure can be traced. */
    String history(int key) {
        return history.stream()
                .filter(each -> each.from() <= key && key <= each.to())
                .map(each -> "\n  " + each.text())
                .collect(Collectors.joining());
    }

    private void note(KeyAssignment range, String text) {
        history.addLast(new Noted(
                range.from(),
                range.to(),
                clock.nowMillis() + " " + text + " epoch " + range.epoch() + " keys " + range.from() + " to "
                        + range.to()));
        if (history.size() > HISTORY) {
            history.removeFirst();
        }
    }

    /** Carries out what is due now. */
    void deliver() {
        List<Delivery> due = deliveries.stream()
                .filter(each -> each.atMillis() <= clock.nowMillis())
                .toList();
        deliveries.removeAll(due);
        due.forEach(each -> each.action().run());
    }

    List<String> holders(int key) {
        List<String> holders = new ArrayList<>();
        targets.forEach((id, target) -> {
            boolean holds = target.holds.stream()
                    .anyMatch(
                            hold -> hold.from() <= key && key <= hold.to() && hold.endsAtMillis() > clock.nowMillis());
            if (holds) {
                holders.add(id);
            }
        });
        return holders;
    }

    private Target target(String id) {
        return targets.computeIfAbsent(id, key -> new Target());
    }

    @Override
    public CompletableFuture<Boolean> grant(
            TargetRegistration entry, KeyAssignment range, long holdMillis, Optional<String> handover) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        send(entry.id(), answer, arrivedAt -> {
            Target target = target(entry.id());
            if (!see(target, range)) {
                note(range, entry.id() + " fences grant off");
                return false;
            }
            note(range, entry.id() + " takes grant that arrived " + arrivedAt);
            cut(target, range);
            // The clock of the target runs slow, so it holds the keys longer than it was told.
            target.holds.add(new Hold(range.from(), range.to(), range.epoch(), arrivedAt + holdMillis * 102 / 100));
            return true;
        });
        return answer;
    }

    @Override
    public CompletableFuture<Boolean> probe(TargetRegistration entry, String healthPath) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        send(entry.id(), answer, arrivedAt -> true);
        return answer;
    }

    @Override
    public CompletableFuture<Optional<String>> release(TargetRegistration entry, KeyAssignment range) {
        CompletableFuture<Optional<String>> answer = new CompletableFuture<>();
        send(entry.id(), answer, arrivedAt -> {
            Target target = target(entry.id());
            note(range, entry.id() + " takes release that arrived " + arrivedAt);
            see(target, range);
            cut(target, range);
            return Optional.of("handover");
        });
        return answer;
    }

    /** Notes an epoch; tells whether no higher one was seen on any of the keys. */
    private static boolean see(Target target, KeyAssignment range) {
        boolean highest = true;
        for (int key = range.from(); key <= range.to(); key++) {
            highest &= target.epochs[key] <= range.epoch();
        }
        for (int key = range.from(); highest && key <= range.to(); key++) {
            target.epochs[key] = range.epoch();
        }
        return highest;
    }

    /** Something that a target does when an order arrives. */
    private interface Effect<T> {
        T apply(long arrivedAtMillis);
    }

    private <T> void send(String id, CompletableFuture<T> answer, Effect<T> effect) {
        long now = clock.nowMillis();
        long arrival = now + 1 + random.nextInt(faults.longestDelayMillis());
        long deadline = now + LeaderTimes.OWNERSHIP_REQUEST_TIMEOUT_MILLIS;
        int process = target(id).process;
        boolean lost = random.nextDouble() < faults.lostShare();
        boolean unanswered = random.nextDouble() < faults.unansweredShare();
        if (!lost && arrival < deadline) {
            // An order without an answer is carried out seconds later; its time counts from its arrival.
            long effectAt = unanswered ? arrival + random.nextInt(10_000) : arrival;
            deliveries.add(new Delivery(effectAt, () -> {
                if (!target(id).down && target(id).process == process) {
                    T result = effect.apply(arrival);
                    if (!unanswered) {
                        deliveries.add(new Delivery(clock.nowMillis() + 1, () -> answer.complete(result)));
                    }
                }
            }));
        }
        deliveries.add(new Delivery(
                deadline, () -> answer.completeExceptionally(new ExchangeException("no answer from " + id, true))));
    }

    private static void cut(Target target, KeyAssignment range) {
        List<Hold> kept = new ArrayList<>();
        for (Hold hold : target.holds) {
            if (hold.to() < range.from() || hold.from() > range.to()) {
                kept.add(hold);
                continue;
            }
            if (hold.from() < range.from()) {
                kept.add(new Hold(hold.from(), range.from() - 1, hold.epoch(), hold.endsAtMillis()));
            }
            if (hold.to() > range.to()) {
                kept.add(new Hold(range.to() + 1, hold.to(), hold.epoch(), hold.endsAtMillis()));
            }
        }
        target.holds.clear();
        target.holds.addAll(kept);
    }
}
