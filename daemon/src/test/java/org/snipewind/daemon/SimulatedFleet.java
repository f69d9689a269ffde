package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.clients.configuration.ColdStartSettings;
import org.snipewind.clients.configuration.ConfigurationCodec;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.OrganisationSettings;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.clients.store.RecordCodec;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.RoleAssignment;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.daemon.entry.OrganisationDirectory;
import org.snipewind.daemon.record.RecordNames;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.PeerException;
import org.snipewind.protocol.PeerMessage;

/** Daemons, targets and a store on one manual clock; every step checks that no two targets hold the same slice. */
final class SimulatedFleet {

    static final String POOL = "ledger";
    static final String ORGANISATION = "riverside";
    static final String KEY = "key-of-riverside";
    static final long STEP_MILLIS = 50;
    // Shorter than a step, so that a probe without an immediate response cannot run later.
    private static final long PROBE_TIMEOUT_MILLIS = STEP_MILLIS - 10;

    final ManualMillisClock clock = new ManualMillisClock(1_000_000);
    final SimulatedStore store = new SimulatedStore(clock);
    final Map<String, SimulatedTarget> targets = new TreeMap<>();
    final Map<String, SimulatedDaemon> daemons = new LinkedHashMap<>();

    private final Map<String, TargetSettings> targetSettings = new TreeMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final List<PendingCall> pendingCalls = new ArrayList<>();
    private final boolean checksTokens;
    private long revision;
    private long requests;

    private record PendingCall(long endMillis, CompletableFuture<PeerMessage> result) {}

    SimulatedFleet(boolean checksTokens, int daemonCount, int targetCount) {
        this.checksTokens = checksTokens;
        for (int number = 0; number < targetCount; number++) {
            String name = "target-" + number;
            targets.put(name, new SimulatedTarget(name, clock, checksTokens));
            targetSettings.put(name, new TargetSettings(name, dataCentre(number), false));
        }
        configure(Map.of("first", OrganisationDirectory.digest(KEY)));
        for (int number = 0; number < daemonCount; number++) {
            start("daemon" + number + "-a", dataCentre(number));
        }
    }

    /** Starts a fleet and runs it until all slices are held. */
    static SimulatedFleet running(int daemonCount, int targetCount) {
        SimulatedFleet fleet = new SimulatedFleet(true, daemonCount, targetCount);
        fleet.await("all slices are held", 10_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
        fleet.run(5_000);
        return fleet;
    }

    SimulatedDaemon start(String id, String dataCentre) {
        List<String> seeds = List.copyOf(daemons.keySet());
        SimulatedDaemon daemon = new SimulatedDaemon(id, dataCentre, this, seeds);
        daemons.put(id, daemon);
        return daemon;
    }

    void configure(Map<String, String> keys) {
        revision++;
        PoolSettings pool = new PoolSettings(true, checksTokens, 2, 1_000, new ColdStartSettings(1, 1), targetSettings);
        FleetConfiguration configuration = new FleetConfiguration(
                Map.of(
                        "dc-0", new DataCentreSettings("region", true),
                        "dc-1", new DataCentreSettings("region", true),
                        "dc-2", new DataCentreSettings("region", true)),
                Map.of(POOL, pool),
                Map.of(),
                Map.of(ORGANISATION, new OrganisationSettings(new BudgetSettings(100, 10), 1, keys)));
        store.put(
                RecordNames.CONFIGURATION,
                ConfigurationCodec.encode(
                        new ConfigurationRevision(revision, "test", "", "writer-" + revision, 0, configuration)));
    }

    /** Drops all messages from one daemon to another; messages in the other direction still arrive. */
    void cut(String from, String to) {
        cutLinks.add(from + ">" + to);
    }

    void isolate(String id) {
        for (String other : daemons.keySet()) {
            cut(id, other);
            cut(other, id);
        }
    }

    void restoreLinks() {
        cutLinks.clear();
    }

    void run(long millis) {
        long end = clock.nowMillis() + millis;
        while (clock.nowMillis() < end) {
            step();
        }
    }

    /** Runs until a condition holds, and returns the elapsed time in milliseconds. */
    long await(String description, long limitMillis, BooleanSupplier condition) {
        long start = clock.nowMillis();
        while (!condition.getAsBoolean()) {
            assertWithMessage(description + " within " + limitMillis + " ms")
                    .that(clock.nowMillis() - start)
                    .isLessThan(limitMillis);
            step();
        }
        return clock.nowMillis() - start;
    }

    FleetRecord fleet() {
        return store.read(RecordNames.FLEET)
                .map(value -> RecordCodec.decodeFleetRecord(value.content()))
                .orElse(FleetRecord.EMPTY);
    }

    SliceTable table() {
        return store.read(RecordNames.table(POOL))
                .map(value -> RecordCodec.decodeSliceTable(value.content()))
                .orElse(SliceTable.empty(POOL));
    }

    SimulatedDaemon supervisorOf(String target) {
        return holderOf(RoleNames.target(target));
    }

    SimulatedDaemon holderOf(String role) {
        RoleAssignment assignment = fleet().roles().get(role);
        return daemons.get(assignment.holder());
    }

    int sliceOf(String target) {
        return table().servableBy(target).iterator().next();
    }

    int heldSliceCount() {
        return targets.values().stream()
                .mapToInt(target -> target.heldSlices().size())
                .sum();
    }

    boolean isServed(int slice) {
        Optional<String> owner = table().slices().get(slice).owner();
        if (owner.isEmpty()) {
            return false;
        }
        SimulatedDaemon supervisor = supervisorOf(owner.get());
        if (supervisor == null || !supervisor.isRunning()) {
            return false;
        }
        CompletableFuture<Either<Refusal, TargetResponse>> response =
                supervisor.submit(request(owner.get(), slice, PROBE_TIMEOUT_MILLIS));
        return response.isDone() && response.join().isRight();
    }

    ForwardRequest request(String target, int slice, long remainingMillis) {
        requests++;
        return new ForwardRequest(
                "request-" + requests,
                ORGANISATION,
                OrganisationDirectory.digest(KEY),
                "route",
                POOL,
                target,
                OptionalInt.of(slice),
                table().version(),
                remainingMillis,
                "POST",
                "/",
                Map.of(),
                new byte[0]);
    }

    PeerConnections peersOf(SimulatedDaemon sender) {
        return new PeerConnections() {
            @Override
            public CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis) {
                CompletableFuture<PeerMessage> result = new CompletableFuture<>();
                pendingCalls.add(new PendingCall(clock.nowMillis() + timeoutMillis, result));
                transmit(sender, address, message, result);
                return result;
            }

            @Override
            public void send(String address, PeerMessage message) {
                transmit(sender, address, message, new CompletableFuture<>());
            }

            @Override
            public void close() {}
        };
    }

    private void transmit(
            SimulatedDaemon sender, String address, PeerMessage message, CompletableFuture<PeerMessage> result) {
        SimulatedDaemon receiver = daemons.get(address);
        if (receiver == null || receiver.isDead || receiver.isRemoved) {
            result.completeExceptionally(new PeerException("refused", false, null));
        } else if (!cutLinks.contains(sender.id() + ">" + address)) {
            receiver.deliver(() -> receiver.dispatcher
                    .handle(sender.id(), message)
                    .thenAccept(response -> {
                        if (response.isPresent() && !cutLinks.contains(address + ">" + sender.id())) {
                            sender.deliver(() -> result.complete(response.get()));
                        }
                    }));
        }
    }

    private void step() {
        clock.advance(STEP_MILLIS);
        store.tick();
        for (PendingCall call : List.copyOf(pendingCalls)) {
            if (call.endMillis() <= clock.nowMillis() || call.result().isDone()) {
                pendingCalls.remove(call);
                call.result().completeExceptionally(new PeerException("no response in time", true, null));
            }
        }
        List.copyOf(daemons.values()).forEach(SimulatedDaemon::runDueLoops);
        checkEachSliceHasOneHolder();
    }

    private void checkEachSliceHasOneHolder() {
        Map<Integer, String> holders = new TreeMap<>();
        targets.forEach((name, target) -> target.heldSlices().forEach(slice -> {
            String otherHolder = holders.putIfAbsent(slice, name);
            assertWithMessage("other holder of slice " + slice + " beside " + name)
                    .that(otherHolder)
                    .isNull();
        }));
    }

    static String dataCentre(int number) {
        return "dc-" + number % 3;
    }
}
