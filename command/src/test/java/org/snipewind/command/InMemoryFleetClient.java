package org.snipewind.command;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.SwapResult;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.ownership.SliceTable;

/** A store in memory with one daemon, which reports every revision as in force unless a test sets another one. */
final class InMemoryFleetClient implements FleetClient, KeyValueStore {

    private final Map<String, VersionedValue> values = new HashMap<>();
    /** Runs once, before the next compare-and-swap. */
    Runnable beforeNextSwap = () -> {};

    long reportedRevision = Long.MAX_VALUE;
    Either<ExplainFailure, String> explanation = Either.right("");
    Optional<RouteQuestion> askedQuestion = Optional.empty();

    InMemoryFleetClient() {
        values.put("fleet", new VersionedValue(1, new byte[0]));
    }

    @Override
    public KeyValueStore connectStore(String address) {
        return this;
    }

    @Override
    public Either<String, FleetRecord> decodeFleetRecord(byte[] content) {
        Member member = new Member("d-1", "central", "rosario", "127.0.0.1:1", "127.0.0.1:2", List.of());
        return Either.right(new FleetRecord(1, "w", Map.of("d-1", member), Map.of()));
    }

    @Override
    public Either<String, SliceTable> decodeSliceTable(byte[] content) {
        return Either.right(SliceTable.empty("reelteca"));
    }

    @Override
    public Either<String, String> readRollouts(String instanceAddress) {
        return instanceAddress.endsWith(":1")
                ? Either.left("connection refused")
                : Either.right("pool=p order=v2 within 12000ms version=v2 phase=CANARY share=0.03\n");
    }

    @Override
    public Either<String, DaemonStatus> readStatus(String operatorAddress) {
        return Either.right(
                new DaemonStatus("d-1", "rosario", true, reportedRevision, 0, 1, true, 0, 0, List.of(), List.of()));
    }

    @Override
    public Either<ExplainFailure, String> explainRoute(String metricsAddress, RouteQuestion question) {
        askedQuestion = Optional.of(question);
        return explanation;
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        return CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        Runnable action = beforeNextSwap;
        beforeNextSwap = () -> {};
        action.run();
        long version = values.containsKey(key) ? values.get(key).version() : 0;
        boolean applied = version == expectedVersion;
        if (applied) {
            values.put(key, new VersionedValue(version + 1, content));
        }
        return CompletableFuture.completedFuture(new SwapResult(applied, applied ? version + 1 : version));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return get(key);
    }

    @Override
    public void close() {}
}
