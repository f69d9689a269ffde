package org.snipewind.daemon.record;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.snipewind.clients.store.ConditionalWriter;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.clients.store.WriteOutcome;
import org.snipewind.daemon.FailureCauses;

/** Reads and writes records in the store; an update completes normally only if the effect of its write is known. */
public final class RecordUpdater {

    private static final int MAX_ATTEMPTS = 8;
    private static final long MAX_BACKOFF_MILLIS = 60;
    // The control loops request again what is still needed; a longer queue would only replay outdated updates after an
    // outage of the store.
    private static final int MAX_WAITING_UPDATES = 8;

    private final String memberId;
    private final KeyValueStore store;
    private final RecordCache records;
    private final RecordDistributor distributor;
    private final StoreContact contact;
    private final AtomicLong writeCount = new AtomicLong();
    private final Map<String, CompletableFuture<Void>> refreshes = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> waitingUpdates = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<?>> lastUpdates = new ConcurrentHashMap<>();

    /**
     * Creates an updater.
     *
     * @param memberId id of this daemon, part of the writer ids
     * @param store the store
     * @param records records of this daemon
     * @param distributor sends written records to peers
     * @param contact records each response of the store
     */
    public RecordUpdater(
            String memberId,
            KeyValueStore store,
            RecordCache records,
            RecordDistributor distributor,
            StoreContact contact) {
        this.memberId = memberId;
        this.store = store;
        this.records = records;
        this.distributor = distributor;
        this.contact = contact;
    }

    /**
     * Returns whether a failed update may have taken effect or may still take effect.
     *
     * @param failure failure of an update, null for none
     * @return true if the outcome of its write is not known
     */
    public static boolean isOutcomeUnknown(Throwable failure) {
        return FailureCauses.contain(failure, UnknownWriteOutcomeException.class);
    }

    /**
     * Reads a record from the store; concurrent reads of one record share one call.
     *
     * @param name store key of the record
     * @return completes when the record is in this daemon's cache; fails if the store does not respond
     */
    public CompletableFuture<Void> refresh(String name) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<Void> running = refreshes.putIfAbsent(name, started);
        if (running != null) {
            return running;
        }
        long startMillis = contact.beginCall();
        store.get(name).whenComplete((value, failure) -> {
            refreshes.remove(name);
            if (failure != null) {
                started.completeExceptionally(failure);
                return;
            }
            contact.recordStoreContact(startMillis);
            value.ifPresent(found -> records.putIfNewer(name, found.content()));
            started.complete(null);
        });
        return started;
    }

    /**
     * Writes the next version of a record; this daemon runs its updates of one record one at a time, in order.
     *
     * @param <T> class of the record
     * @param type type of the record
     * @param transition computes the next version; called again after each conflicting write
     * @return true once the write is known to have taken effect, false if there was nothing to write; fails if the
     *     write failed or its outcome is not known
     */
    public <T> CompletableFuture<Boolean> update(RecordType<T> type, RecordTransition<T> transition) {
        AtomicInteger waiting = waitingUpdates.computeIfAbsent(type.name(), name -> new AtomicInteger());
        if (waiting.incrementAndGet() > MAX_WAITING_UPDATES) {
            waiting.decrementAndGet();
            return CompletableFuture.failedFuture(new IllegalStateException(
                    MAX_WAITING_UPDATES + " updates of " + type.name() + " are already waiting; new update rejected"));
        }
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        lastUpdates.compute(type.name(), (name, last) -> {
            CompletableFuture<?> previous = last == null ? CompletableFuture.completedFuture(null) : last;
            previous.handle((value, failure) -> null)
                    .thenCompose(ignored -> attempt(type, transition, 1))
                    .whenComplete((value, failure) -> {
                        waiting.decrementAndGet();
                        if (failure != null) {
                            result.completeExceptionally(failure);
                        } else {
                            result.complete(value);
                        }
                    });
            return result;
        });
        return result;
    }

    private <T> CompletableFuture<Boolean> attempt(RecordType<T> type, RecordTransition<T> transition, int number) {
        long startMillis = contact.beginCall();
        return store.get(type.name()).thenCompose(value -> {
            contact.recordStoreContact(startMillis);
            value.ifPresent(found -> records.putIfNewer(type.name(), found.content()));
            return write(type, transition, value, number);
        });
    }

    private <T> CompletableFuture<Boolean> write(
            RecordType<T> type, RecordTransition<T> transition, Optional<VersionedValue> value, int number) {
        T current = value.map(found -> type.decode().apply(found.content())).orElse(type.empty());
        String writerId = memberId + "/" + writeCount.incrementAndGet();
        Optional<T> next = transition.apply(current, writerId);
        if (next.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        byte[] content = type.encode().apply(next.get());
        long expected = value.map(VersionedValue::version).orElse(0L);
        Function<byte[], String> writerOf =
                bytes -> type.writerOf().apply(type.decode().apply(bytes));
        return new ConditionalWriter(store, writerOf)
                .write(type.name(), expected, content)
                .thenCompose(outcome -> handleOutcome(type, transition, content, outcome, number));
    }

    private <T> CompletableFuture<Boolean> handleOutcome(
            RecordType<T> type, RecordTransition<T> transition, byte[] content, WriteOutcome outcome, int number) {
        if (outcome.kind() == WriteOutcome.Kind.APPLIED) {
            records.putIfNewer(type.name(), content);
            distributor.push(type.name(), member -> true);
            return CompletableFuture.completedFuture(true);
        }
        if (outcome.kind() == WriteOutcome.Kind.CONFLICT && number < MAX_ATTEMPTS) {
            return CompletableFuture.supplyAsync(() -> null, jitteredBackoff(number))
                    .thenCompose(ignored -> attempt(type, transition, number + 1));
        }
        String message = "write of " + type.name() + " ended with outcome " + outcome.kind();
        return CompletableFuture.failedFuture(
                outcome.kind() == WriteOutcome.Kind.UNKNOWN
                        ? new UnknownWriteOutcomeException(message)
                        : new IllegalStateException(message));
    }

    private static Executor jitteredBackoff(int number) {
        long maxMillis = Math.min(MAX_BACKOFF_MILLIS, 2L << number);
        return CompletableFuture.delayedExecutor(
                ThreadLocalRandom.current().nextLong(1, maxMillis + 1), TimeUnit.MILLISECONDS);
    }
}
