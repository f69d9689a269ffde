package org.snipewind.router.lead;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.RecordCodec;

/** An in-memory store whose writes may be refused, or take effect without a response. */
final class SimulatedStore implements CoordinationStore {

    private static final int HISTORY_LENGTH = 40;

    private record WrittenTable(long atMillis, KeyTable table) {}

    private final Deque<WrittenTable> writtenTables = new ArrayDeque<>();
    private final MillisClock clock;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Random random;
    private long revision = 10;
    private double refusedFraction;
    private double unansweredFraction;
    private volatile Optional<StoreException.Kind> endLeaseFailure = Optional.empty();

    SimulatedStore(MillisClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void setFaults(double refused, double unanswered) {
        refusedFraction = refused;
        unansweredFraction = unanswered;
    }

    void setEndLeaseFailure(Optional<StoreException.Kind> kind) {
        endLeaseFailure = kind;
    }

    /** Returns the recent assignments of a key, for failure messages. */
    String history(int key) {
        return writtenTables.stream()
                .map(each -> "\n  " + each.atMillis() + " table assigns "
                        + each.table().find(key).map(KeyAssignment::toString).orElse("no holder"))
                .collect(Collectors.joining());
    }

    private void recordWrite(StoreWrite write) {
        RecordCodec.decodeKeyTable(write.value())
                .ifPresent(table -> writtenTables.addLast(new WrittenTable(clock.nowMillis(), table)));
        if (writtenTables.size() > HISTORY_LENGTH) {
            writtenTables.removeFirst();
        }
    }

    @Override
    public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
        List<StoreItem> found = items.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
        return CompletableFuture.completedFuture(new StorePage(found, false, revision));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> commit(List<StoreWrite> writes) {
        if (random.nextDouble() < refusedFraction) {
            return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.REFUSED, "refused"));
        }
        for (StoreWrite write : writes) {
            long storedRevision = Optional.ofNullable(items.get(write.key()))
                    .map(StoreItem::revision)
                    .orElse(0L);
            if (storedRevision != write.expectedRevision()) {
                return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.CONFLICT, "conflict"));
            }
        }
        revision++;
        writes.forEach(this::recordWrite);
        writes.forEach(
                write -> items.put(write.key(), new StoreItem(write.key(), write.value(), revision, write.lease())));
        return random.nextDouble() < unansweredFraction
                ? CompletableFuture.failedFuture(new StoreException(StoreException.Kind.UNKNOWN, "no response"))
                : CompletableFuture.completedFuture(revision);
    }

    @Override
    public CompletableFuture<Long> openLease(long lifetimeMillis) {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<Void> renewLease(long lease) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        if (endLeaseFailure.isPresent()) {
            return CompletableFuture.failedFuture(new StoreException(endLeaseFailure.get(), "lease not ended"));
        }
        items.values().removeIf(item -> item.lease() == lease);
        return CompletableFuture.completedFuture(null);
    }
}
