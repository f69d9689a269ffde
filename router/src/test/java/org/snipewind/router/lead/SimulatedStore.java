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

/** A store in memory whose writes may be refused, or take effect without an answer. */
final class SimulatedStore implements CoordinationStore {

    private static final int HISTORY = 40;

    private record Written(long atMillis, KeyTable table) {}

    private final Deque<Written> tables = new ArrayDeque<>();
    private final MillisClock clock;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Random random;
    private long revision = 10;
    private double refusedShare;
    private double unansweredShare;
    private volatile Optional<StoreException.Kind> failureOfLeaseEnds = Optional.empty();

    SimulatedStore(MillisClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void setFaults(double refused, double unanswered) {
        refusedShare = refused;
        unansweredShare = unanswered;
    }

    void failLeaseEnds(Optional<StoreException.Kind> kind) {
        failureOfLeaseEnds = kind;
    }

    /** Lists what the newest tables said of a key, so that a failure can be traced. */
    String history(int key) {
        return tables.stream()
                .map(each -> "\n  " + each.atMillis() + " table says "
                        + each.table().find(key).map(KeyAssignment::toString).orElse("nothing"))
                .collect(Collectors.joining());
    }

    private void note(StoreWrite write) {
        RecordCodec.decodeKeyTable(write.value())
                .ifPresent(table -> tables.addLast(new Written(clock.nowMillis(), table)));
        if (tables.size() > HISTORY) {
            tables.removeFirst();
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
        if (random.nextDouble() < refusedShare) {
            return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.REFUSED, "refused"));
        }
        for (StoreWrite write : writes) {
            long stored = Optional.ofNullable(items.get(write.key()))
                    .map(StoreItem::revision)
                    .orElse(0L);
            if (stored != write.expectedRevision()) {
                return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.CONFLICT, "conflict"));
            }
        }
        revision++;
        writes.forEach(this::note);
        writes.forEach(
                write -> items.put(write.key(), new StoreItem(write.key(), write.value(), revision, write.lease())));
        return random.nextDouble() < unansweredShare
                ? CompletableFuture.failedFuture(new StoreException(StoreException.Kind.UNKNOWN, "no answer"))
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
        if (failureOfLeaseEnds.isPresent()) {
            return CompletableFuture.failedFuture(new StoreException(failureOfLeaseEnds.get(), "no end of lease"));
        }
        items.values().removeIf(item -> item.lease() == lease);
        return CompletableFuture.completedFuture(null);
    }
}
