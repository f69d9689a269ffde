package org.snipewind.standins.store;

import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.standins.server.StandInHandler;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/** Stand-in for the platform's key-value service: an in-memory store with compare-and-swap, watches and faults. */
public final class StoreStandIn implements StandInHandler {

    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final CompletableFuture<StandInResponse> NO_RESPONSE = new CompletableFuture<>();

    private final Map<String, VersionedValue> values = new TreeMap<>();
    private final Map<String, Set<CompletableFuture<Void>>> watches = new HashMap<>();
    private final CallCounters counters = new CallCounters(new SystemMillisClock());
    private final SplittableRandom random;
    private StoreFaults faults = StoreFaults.NONE;

    /**
     * Creates an empty store.
     *
     * @param seed seed for choosing the responses that are lost
     */
    public StoreStandIn(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Replaces the faults.
     *
     * @param newFaults the new faults
     */
    public synchronized void setFaults(StoreFaults newFaults) {
        faults = newFaults;
    }

    /**
     * Returns the faults, the counters and the versions of all values.
     *
     * @return the report
     */
    public synchronized StoreStandInReport report() {
        Map<String, Long> versions = new TreeMap<>();
        values.forEach((key, value) -> versions.put(key, value.version()));
        int waitingWatches = watches.values().stream().mapToInt(Set::size).sum();
        return new StoreStandInReport(
                faults, counters.byKind(), counters.byCaller(), counters.ratesPerSecond(), waitingWatches, versions);
    }

    @Override
    public CompletableFuture<StandInResponse> handle(StandInRequest request) {
        if (request.matches("GET", "/control")) {
            return CompletableFuture.completedFuture(StandInResponse.json(report()));
        }
        if (request.matches("PUT", "/control")) {
            setFaults(JsonCodec.decode(request.body(), StoreFaults.class));
            return CompletableFuture.completedFuture(StandInResponse.empty(204));
        }
        if (!request.path().equals(HttpKeyValueStore.VALUES_PATH)
                || !request.parameters().containsKey("key")) {
            return CompletableFuture.completedFuture(StandInResponse.text(400, "expected /values?key="));
        }
        return handleCall(request);
    }

    private synchronized CompletableFuture<StandInResponse> handleCall(StandInRequest request) {
        boolean isWatch = request.method().equals("GET") && request.parameters().containsKey("wait");
        String caller = request.header(HttpKeyValueStore.CALLER_HEADER).orElse("");
        counters.count(request.method().equals("PUT") ? "swap" : isWatch ? "watch" : "get", caller);
        if (faults.mode() == StoreFaults.Mode.HANG) {
            return NO_RESPONSE;
        }
        if (faults.mode() == StoreFaults.Mode.REFUSE || faults.refusedCallers().contains(caller)) {
            request.connection().drop();
            return NO_RESPONSE;
        }
        boolean losesResponse = random.nextDouble() < faults.loseAnswersShare();
        Executor delay = CompletableFuture.delayedExecutor(faults.slowMillis(), TimeUnit.MILLISECONDS, Runnable::run);
        CompletableFuture<StandInResponse> response = isWatch
                ? watch(request)
                : CompletableFuture.completedFuture(request.method().equals("PUT") ? swap(request) : get(request));
        if (losesResponse) {
            request.connection().drop();
            return NO_RESPONSE;
        }
        return faults.slowMillis() > 0 ? response.thenApplyAsync(completed -> completed, delay) : response;
    }

    private StandInResponse get(StandInRequest request) {
        VersionedValue value = values.get(request.parameters().get("key"));
        return value == null ? StandInResponse.empty(404) : response(200, value.version(), value.content());
    }

    private StandInResponse swap(StandInRequest request) {
        if (request.body().length > MAX_VALUE_BYTES) {
            return StandInResponse.empty(413);
        }
        String key = request.parameters().get("key");
        long version = values.containsKey(key) ? values.get(key).version() : 0;
        if (request.longParameter("expected").orElse(-1L) != version) {
            return response(409, version, new byte[0]);
        }
        values.put(key, new VersionedValue(version + 1, request.body()));
        Set<CompletableFuture<Void>> waitingWatches = watches.remove(key);
        if (waitingWatches != null) {
            waitingWatches.forEach(watch -> watch.completeAsync(() -> null));
        }
        return response(200, version + 1, new byte[0]);
    }

    private CompletableFuture<StandInResponse> watch(StandInRequest request) {
        String key = request.parameters().get("key");
        long knownVersion = request.longParameter("above").orElse(0L);
        if (values.containsKey(key) && values.get(key).version() > knownVersion) {
            return CompletableFuture.completedFuture(get(request));
        }
        CompletableFuture<Void> change = new CompletableFuture<>();
        watches.computeIfAbsent(key, ignored -> Collections.newSetFromMap(new IdentityHashMap<>()))
                .add(change);
        return change.completeOnTimeout(null, request.longParameter("wait").orElse(0L), TimeUnit.MILLISECONDS)
                .thenApply(ignored -> endWatch(request, key, knownVersion, change));
    }

    @SuppressWarnings("CollectionUndefinedEquality") // The set compares its elements by identity.
    private synchronized StandInResponse endWatch(
            StandInRequest request, String key, long knownVersion, CompletableFuture<Void> change) {
        Set<CompletableFuture<Void>> waitingWatches = watches.get(key);
        if (waitingWatches != null && waitingWatches.remove(change) && waitingWatches.isEmpty()) {
            watches.remove(key);
        }
        boolean isNewer = values.containsKey(key) && values.get(key).version() > knownVersion;
        return isNewer ? get(request) : StandInResponse.empty(204);
    }

    private static StandInResponse response(int status, long version, byte[] content) {
        return new StandInResponse(
                status,
                Map.of(
                        HttpKeyValueStore.VERSION_HEADER,
                        Long.toString(version),
                        "Content-Type",
                        "application/octet-stream"),
                content);
    }
}
