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

/** Reads and writes records in the store; a write is reported only once its effect is known. */
public final class RecordUpdater {

    private static final int MOST_ATTEMPTS = 8;
    private static final long LONGEST_BACKOFF_MILLIS = 60;
    // The control loops repeat what is still needed, so more waiting updates would only replay old wishes after an
    // outage.
    private static final int MOST_WAITING = 8;

    private final String memberId;
    private final KeyValueStore store;
    private final RecordCache records;
    private final RecordDistributor distributor;
    private final StoreContact contact;
    private final AtomicLong writes = new AtomicLong();
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
     * @param contact records each answer of the store
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
     * Tells whether a failed update may still take effect.
     *
     * @param failure failure of an update, null for none
     * @return true if the effect of its write is not known
     */
    public static boolean isOutcomeUnknown(Throwable failure) {
        return FailureCauses.contain(failure, UnknownWriteOutcomeException.class);
    }

    /**
     * Reads a record from the store; reads of one record at the same time share one call.
     *
     * @param name store key of the record
     * @return completes when the record is in force here; fails if the store does not answer
     */
    public CompletableFuture<Void> refresh(String name) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<Void> running = refreshes.putIfAbsent(name, started);
        if (running != null) {
            return running;
        }
        long begun = contact.beginCall();
        store.get(name).whenComplete((value, failure) -> {
            refreshes.remove(name);
            if (failure != null) {
                started.completeExceptionally(failure);
                return;
            }
            contact.recordStoreContact(begun);
            value.ifPresent(found -> records.putIfNewer(name, found.content()));
            started.complete(null);
        });
        return started;
    }

    /**
     * Writes the next version of a record; updates of one record by this daemon run one after another.
     *
     * @param <T> class of the record
     * @param type type of the record
     * @param transition computes the next version; it may be called several times
     * @return true once the write is known to have taken effect, false if there was nothing to write; fails if the
     *     effect is not known
     */
    public <T> CompletableFuture<Boolean> update(RecordType<T> type, RecordTransition<T> transition) {
        AtomicInteger waiting = waitingUpdates.computeIfAbsent(type.name(), name -> new AtomicInteger());
        if (waiting.incrementAndGet() > MOST_WAITING) {
            waiting.decrementAndGet();
            return CompletableFuture.failedFuture(
                    new IllegalStateException(MOST_WAITING + " updates of " + type.name() + " are waiting already"));
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
        long begun = contact.beginCall();
        return store.get(type.name()).thenCompose(value -> {
            contact.recordStoreContact(begun);
            value.ifPresent(found -> records.putIfNewer(type.name(), found.content()));
            return write(type, transition, value, number);
        });
    }

    private <T> CompletableFuture<Boolean> write(
            RecordType<T> type, RecordTransition<T> transition, Optional<VersionedValue> value, int number) {
        T current = value.map(found -> type.decode().apply(found.content())).orElse(type.empty());
        String writerId = memberId + "/" + writes.incrementAndGet();
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
                .thenCompose(outcome -> settle(type, transition, content, outcome, number));
    }

    private <T> CompletableFuture<Boolean> settle(
            RecordType<T> type, RecordTransition<T> transition, byte[] content, WriteOutcome outcome, int number) {
        if (outcome.kind() == WriteOutcome.Kind.APPLIED) {
            records.putIfNewer(type.name(), content);
            distributor.push(type.name(), member -> true);
            return CompletableFuture.completedFuture(true);
        }
        if (outcome.kind() == WriteOutcome.Kind.CONFLICT && number < MOST_ATTEMPTS) {
            return CompletableFuture.supplyAsync(() -> null, jitteredBackoff(number))
                    .thenCompose(ignored -> attempt(type, transition, number + 1));
        }
        String message = "write of " + type.name() + " ended as " + outcome.kind();
        return CompletableFuture.failedFuture(
                outcome.kind() == WriteOutcome.Kind.UNKNOWN
                        ? new UnknownWriteOutcomeException(message)
                        : new IllegalStateException(message));
    }

    private static Executor jitteredBackoff(int number) {
        long most = Math.min(LONGEST_BACKOFF_MILLIS, 2L << number);
        return CompletableFuture.delayedExecutor(
                ThreadLocalRandom.current().nextLong(1, most + 1), TimeUnit.MILLISECONDS);
    }
}
