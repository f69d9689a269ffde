package org.snipewind.router.lead;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.http.ExchangeException;
import org.snipewind.router.port.GrantEpoch;
import org.snipewind.router.port.KeyOwnershipClient;

/**
 * Targets that measure the lifetime of grants with a clock that runs 2% slow. Ownership requests are delayed, lost, or
 * carried out without a response.
 */
final class SimulatedTargets implements KeyOwnershipClient {

    /** The faults of ownership requests. */
    record Faults(double lostFraction, double unansweredFraction, int maxDelayMillis) {}

    private record Grant(int from, int to, long epoch, long expiresAtMillis) {}

    private record GrantedEpoch(String holder, long epoch) {}

    private record HistoryEntry(int from, int to, String text) {}

    private record Delivery(long dueMillis, Runnable action) {}

    /** The state of one target: the grants that it has accepted and the highest epoch that it has seen for each key. */
    private static final class Target {
        private final List<Grant> grants = new ArrayList<>();
        private final long[] highestEpochs = new long[KeyTable.LAST_KEY + 1];
        private boolean unreachable;
        private boolean crashed;
        private boolean unaddressable;
        private int processNumber;
        private long connection;
    }

    /** Fraction of the grants that are sent on a new connection, because the target has closed the last one. */
    private static final double CLOSED_CONNECTIONS = 0.05;

    private static final int MAX_CONNECT_MILLIS = 200;

    private static final int HISTORY_LENGTH = 2_000;

    private final Deque<HistoryEntry> history = new ArrayDeque<>();
    private final ManualMillisClock clock;
    private final Random random;
    private final Map<String, Target> targets = new HashMap<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private Faults faults = new Faults(0, 0, 5);
    private OptionalInt spoiledKey = OptionalInt.empty();
    private final Map<Integer, GrantedEpoch> newestEpochs = new HashMap<>();
    private final List<String> epochsOutOfOrder = new ArrayList<>();
    private int requests;

    /** Independent of the other faults, so that connections don't change what a seed gives. */
    private final Random connectionRandom = new Random(1);

    private long connections;

    SimulatedTargets(ManualMillisClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void setFaults(Faults newFaults) {
        faults = newFaults;
    }

    /** Ends the process of a target: it accepts no requests, holds no keys and forgets the epochs that it has seen. */
    void crash(String id) {
        Target target = target(id);
        target.unreachable = true;
        target.crashed = true;
        target.processNumber++;
        target.connection = ++connections;
        target.grants.clear();
        Arrays.fill(target.highestEpochs, 0);
    }

    /** Starts a target again under its id, reachable at once; the store does not list the new start yet. */
    void restartUnnoticed(String id) {
        crash(id);
        setPartitioned(id, false);
    }

    boolean hasCrashed(String id) {
        return target(id).crashed;
    }

    boolean isUnreachable(String id) {
        return target(id).unreachable;
    }

    /** Partitions a target from the leader: it receives no requests but continues to hold its keys. */
    void setPartitioned(String id, boolean partitioned) {
        Target target = target(id);
        target.unreachable = partitioned;
        target.crashed &= partitioned;
    }

    /** Sets whether requests to a target fail before they are sent. */
    void setUnaddressable(String id, boolean unaddressable) {
        target(id).unaddressable = unaddressable;
    }

    /** Makes the responses to grants of one key unusable; the grants are carried out. */
    void setSpoiledKey(int key) {
        spoiledKey = OptionalInt.of(key);
    }

    private boolean isSpoiled(KeyAssignment range) {
        return spoiledKey.isPresent() && range.from() <= spoiledKey.getAsInt() && spoiledKey.getAsInt() <= range.to();
    }

    /** Returns the recent requests that concern a key, for failure messages. */
    String history(int key) {
        return history.stream()
                .filter(each -> each.from() <= key && key <= each.to())
                .map(each -> "\n  " + each.text())
                .collect(Collectors.joining());
    }

    private void recordHistory(KeyAssignment range, String text) {
        history.addLast(new HistoryEntry(
                range.from(),
                range.to(),
                clock.nowMillis() + " " + text + " epoch " + range.epoch() + " keys " + range.from() + " to "
                        + range.to()));
        if (history.size() > HISTORY_LENGTH) {
            history.removeFirst();
        }
    }

    /** Returns the number of ownership requests and probes that were sent. */
    int requests() {
        return requests;
    }

    /** Returns descriptions of grants that gave a key to another process without a higher epoch. */
    List<String> epochsOutOfOrder() {
        return epochsOutOfOrder;
    }

    private void checkOrder(String id, KeyAssignment range, long expiresAtMillis) {
        if (expiresAtMillis <= clock.nowMillis()) {
            return;
        }
        String process = id + " process " + target(id).processNumber;
        // Every 50th key is enough to see any range of the tests' plans that is not tiny.
        for (int key = range.from() / 50 * 50; key <= range.to(); key += 50) {
            GrantedEpoch newest = newestEpochs.get(key);
            if (key < range.from()) {
                continue;
            }
            if (newest != null && !newest.holder().equals(process) && newest.epoch() >= range.epoch()) {
                epochsOutOfOrder.add(
                        "key " + key + " went from " + newest + " to " + process + " under " + range.epoch());
            }
            newestEpochs.put(key, new GrantedEpoch(process, range.epoch()));
        }
    }

    /** Carries out the requests and responses that are due now. */
    void deliver() {
        List<Delivery> due = deliveries.stream()
                .filter(each -> each.dueMillis() <= clock.nowMillis())
                .toList();
        deliveries.removeAll(due);
        due.forEach(each -> each.action().run());
    }

    List<String> holders(int key) {
        List<String> holders = new ArrayList<>();
        targets.forEach((id, target) -> {
            boolean isHolder = target.grants.stream()
                    .anyMatch(grant ->
                            grant.from() <= key && key <= grant.to() && grant.expiresAtMillis() > clock.nowMillis());
            if (isHolder) {
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
            TargetRegistration registration,
            KeyAssignment assignment,
            GrantEpoch epoch,
            long lifetimeMillis,
            Optional<String> handover) {
        CompletableFuture<Boolean> response = new CompletableFuture<>();
        Target addressed = target(registration.id());
        if (!addressed.unaddressable && connectionRandom.nextDouble() < CLOSED_CONNECTIONS) {
            // The epoch is chosen once there is a connection; much may have changed by then.
            long connectedAtMillis = clock.nowMillis() + connectionRandom.nextInt(MAX_CONNECT_MILLIS);
            deliveries.add(new Delivery(connectedAtMillis, () -> {
                addressed.connection = ++connections;
                grantOnConnection(registration, assignment, epoch, lifetimeMillis, response);
            }));
        } else {
            grantOnConnection(registration, assignment, epoch, lifetimeMillis, response);
        }
        return response;
    }

    private void grantOnConnection(
            TargetRegistration registration,
            KeyAssignment assignment,
            GrantEpoch epoch,
            long lifetimeMillis,
            CompletableFuture<Boolean> response) {
        OptionalLong chosen = epoch.on(target(registration.id()).connection);
        if (chosen.isEmpty()) {
            response.completeExceptionally(new ExchangeException("there is no epoch", false));
            return;
        }
        KeyAssignment range = new KeyAssignment(
                assignment.from(), assignment.to(), assignment.holder(), chosen.getAsLong(), List.of());
        send(registration.id(), response, arrivedAtMillis -> {
            Target target = target(registration.id());
            if (!checkEpoch(target, range)) {
                recordHistory(range, registration.id() + " rejects grant");
                return false;
            }
            recordHistory(range, registration.id() + " accepts grant that arrived at " + arrivedAtMillis);
            removeRange(target, range);
            checkOrder(registration.id(), range, arrivedAtMillis + lifetimeMillis);
            // The clock of the target runs slow, so the grant lasts longer than its lifetime by the leader's clock.
            target.grants.add(
                    new Grant(range.from(), range.to(), range.epoch(), arrivedAtMillis + lifetimeMillis * 102 / 100));
            if (isSpoiled(range)) {
                response.completeExceptionally(ExchangeException.unusableResponse("a fault of the test"));
            }
            return true;
        });
    }

    @Override
    public CompletableFuture<Boolean> probe(TargetRegistration registration, String healthPath) {
        CompletableFuture<Boolean> response = new CompletableFuture<>();
        send(registration.id(), response, arrivedAtMillis -> true);
        return response;
    }

    @Override
    public CompletableFuture<Optional<String>> release(TargetRegistration registration, KeyAssignment range) {
        CompletableFuture<Optional<String>> response = new CompletableFuture<>();
        send(registration.id(), response, arrivedAtMillis -> {
            Target target = target(registration.id());
            recordHistory(range, registration.id() + " accepts release that arrived at " + arrivedAtMillis);
            checkEpoch(target, range);
            removeRange(target, range);
            return Optional.of("handover");
        });
        return response;
    }

    /** Records an epoch unless a higher one was seen for any of the keys; returns whether it was recorded. */
    private static boolean checkEpoch(Target target, KeyAssignment range) {
        boolean highest = true;
        for (int key = range.from(); key <= range.to(); key++) {
            highest &= target.highestEpochs[key] <= range.epoch();
        }
        for (int key = range.from(); highest && key <= range.to(); key++) {
            target.highestEpochs[key] = range.epoch();
        }
        return highest;
    }

    /** The action of a target when a request arrives. */
    private interface RequestHandler<T> {
        T apply(long arrivedAtMillis);
    }

    private <T> void send(String id, CompletableFuture<T> response, RequestHandler<T> handler) {
        requests++;
        if (target(id).unaddressable) {
            throw new IllegalArgumentException("a fault of the test");
        }
        long now = clock.nowMillis();
        long arrivalMillis = now + 1 + random.nextInt(faults.maxDelayMillis());
        long deadlineMillis = now + LeaderTimes.OWNERSHIP_REQUEST_TIMEOUT_MILLIS;
        int processNumber = target(id).processNumber;
        boolean lost = random.nextDouble() < faults.lostFraction();
        boolean unanswered = random.nextDouble() < faults.unansweredFraction();
        if (!lost && arrivalMillis < deadlineMillis) {
            // A request without a response is carried out up to ten seconds later; its grant lasts from its arrival.
            long handledAtMillis = unanswered ? arrivalMillis + random.nextInt(10_000) : arrivalMillis;
            deliveries.add(new Delivery(handledAtMillis, () -> {
                if (!target(id).unreachable && target(id).processNumber == processNumber) {
                    T result = handler.apply(arrivalMillis);
                    if (!unanswered) {
                        deliveries.add(new Delivery(clock.nowMillis() + 1, () -> response.complete(result)));
                    }
                }
            }));
        }
        deliveries.add(new Delivery(
                deadlineMillis,
                () -> response.completeExceptionally(new ExchangeException("no response from " + id, true))));
    }

    private static void removeRange(Target target, KeyAssignment range) {
        List<Grant> remaining = new ArrayList<>();
        for (Grant grant : target.grants) {
            if (grant.to() < range.from() || grant.from() > range.to()) {
                remaining.add(grant);
                continue;
            }
            if (grant.from() < range.from()) {
                remaining.add(new Grant(grant.from(), range.from() - 1, grant.epoch(), grant.expiresAtMillis()));
            }
            if (grant.to() > range.to()) {
                remaining.add(new Grant(range.to() + 1, grant.to(), grant.epoch(), grant.expiresAtMillis()));
            }
        }
        target.grants.clear();
        target.grants.addAll(remaining);
    }
}
