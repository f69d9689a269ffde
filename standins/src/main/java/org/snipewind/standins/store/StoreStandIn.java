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

/** A key-value service in memory with compare-and-swap, watches and faults. */
public final class StoreStandIn implements StandInHandler {

    private static final int LARGEST_VALUE = 1 << 20;
    private static final CompletableFuture<StandInResponse> NO_ANSWER = new CompletableFuture<>();

    private final Map<String, VersionedValue> values = new TreeMap<>();
    private final Map<String, Set<CompletableFuture<Void>>> watches = new HashMap<>();
    private final CallCounters counters = new CallCounters(new SystemMillisClock());
    private final SplittableRandom random;
    private StoreFaults faults = StoreFaults.NONE;

    /**
     * Creates an empty store.
     *
     * @param seed seed of the choice of lost answers
     */
    public StoreStandIn(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Replaces the faults.
     *
     * @param newFaults faults from now on
     */
    public synchronized void setFaults(StoreFaults newFaults) {
        faults = newFaults;
    }

    /**
     * Reports counters, faults and versions.
     *
     * @return the report
     */
    public synchronized StoreStandInReport report() {
        Map<String, Long> versions = new TreeMap<>();
        values.forEach((key, value) -> versions.put(key, value.version()));
        int waiting = watches.values().stream().mapToInt(Set::size).sum();
        return new StoreStandInReport(
                faults, counters.byKind(), counters.byCaller(), counters.perSecond(), waiting, versions);
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
        if (!request.path().equals(HttpKeyValueStore.PATH)
                || !request.parameters().containsKey("key")) {
            return CompletableFuture.completedFuture(StandInResponse.text(400, "expected /values?key="));
        }
        return call(request);
    }

    private synchronized CompletableFuture<StandInResponse> call(StandInRequest request) {
        boolean isWatch = request.method().equals("GET") && request.parameters().containsKey("wait");
        String caller = request.header(HttpKeyValueStore.CALLER_HEADER).orElse("");
        counters.count(request.method().equals("PUT") ? "swap" : isWatch ? "watch" : "get", caller);
        if (faults.mode() == StoreFaults.Mode.HANG) {
            return NO_ANSWER;
        }
        if (faults.mode() == StoreFaults.Mode.REFUSE || faults.refusedCallers().contains(caller)) {
            request.connection().drop();
            return NO_ANSWER;
        }
        boolean losesAnswer = random.nextDouble() < faults.loseAnswersShare();
        Executor delay = CompletableFuture.delayedExecutor(faults.slowMillis(), TimeUnit.MILLISECONDS, Runnable::run);
        CompletableFuture<StandInResponse> answer = isWatch
                ? watch(request)
                : CompletableFuture.completedFuture(request.method().equals("PUT") ? swap(request) : get(request));
        if (losesAnswer) {
            request.connection().drop();
            return NO_ANSWER;
        }
        return faults.slowMillis() > 0 ? answer.thenApplyAsync(whole -> whole, delay) : answer;
    }

    private StandInResponse get(StandInRequest request) {
        VersionedValue value = values.get(request.parameters().get("key"));
        return value == null ? StandInResponse.empty(404) : answer(200, value.version(), value.content());
    }

    private StandInResponse swap(StandInRequest request) {
        if (request.body().length > LARGEST_VALUE) {
            return StandInResponse.empty(413);
        }
        String key = request.parameters().get("key");
        long version = values.containsKey(key) ? values.get(key).version() : 0;
        if (request.longParameter("expected").orElse(-1L) != version) {
            return answer(409, version, new byte[0]);
        }
        values.put(key, new VersionedValue(version + 1, request.body()));
        Set<CompletableFuture<Void>> waiting = watches.remove(key);
        if (waiting != null) {
            waiting.forEach(watch -> watch.completeAsync(() -> null));
        }
        return answer(200, version + 1, new byte[0]);
    }

    private CompletableFuture<StandInResponse> watch(StandInRequest request) {
        String key = request.parameters().get("key");
        long known = request.longParameter("above").orElse(0L);
        if (values.containsKey(key) && values.get(key).version() > known) {
            return CompletableFuture.completedFuture(get(request));
        }
        CompletableFuture<Void> change = new CompletableFuture<>();
        watches.computeIfAbsent(key, ignored -> Collections.newSetFromMap(new IdentityHashMap<>()))
                .add(change);
        return change.completeOnTimeout(null, request.longParameter("wait").orElse(0L), TimeUnit.MILLISECONDS)
                .thenApply(ignored -> endWatch(request, key, known, change));
    }

    @SuppressWarnings("CollectionUndefinedEquality") // The set compares by identity.
    private synchronized StandInResponse endWatch(
            StandInRequest request, String key, long known, CompletableFuture<Void> change) {
        Set<CompletableFuture<Void>> waiting = watches.get(key);
        if (waiting != null && waiting.remove(change) && waiting.isEmpty()) {
            watches.remove(key);
        }
        boolean isNewer = values.containsKey(key) && values.get(key).version() > known;
        return isNewer ? get(request) : StandInResponse.empty(204);
    }

    private static StandInResponse answer(int status, long version, byte[] content) {
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
