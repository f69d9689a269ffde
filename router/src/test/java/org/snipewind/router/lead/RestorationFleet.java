package org.snipewind.router.lead;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;

/** Instances, targets, an operator and a store that can be restored, in simulated time. */
final class RestorationFleet {

    static final String POOL = "owners";
    static final String CONFIGURATION = "configuration";
    static final String EVACUATION_PREFIX = "evacuations/";
    static final String TARGET_PREFIX = "targets/";
    static final int[] CHECKED_KEYS = {0, 1, 9_000, 20_000, 33_333, 47_000, 65_535};

    /** Steps of the time; the requests of the simulation take up to some of them. */
    private static final long STEP_MILLIS = 5;

    private static final long PEER_INTERVAL_MILLIS = 250;
    private static final long COPY_INTERVAL_MILLIS = 500;
    private static final int COPIES = 12;

    /** Parses registrations "start sequence state" and versions of configurations with one divided pool. */
    private static final class Parser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            if (key.equals(CONFIGURATION)) {
                return Optional.of(Kind.CONFIGURATION);
            }
            return key.startsWith(EVACUATION_PREFIX) ? Optional.of(Kind.EVACUATION) : Optional.of(Kind.TARGET);
        }

        @Override
        public String entityIdOf(String key) {
            return key.substring(key.lastIndexOf('/') + 1);
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            return Either.right(new RoutingConfiguration(
                    Long.parseLong(new String(value, StandardCharsets.US_ASCII)),
                    List.of(),
                    List.of(new Pool(POOL, true, 10, 1, "/health")),
                    List.of(),
                    CallerLimits.DEFAULT));
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            String[] parts = new String(value, StandardCharsets.US_ASCII).split(" ");
            return Either.right(new TargetRegistration(
                    id,
                    Long.parseLong(parts[0]),
                    Long.parseLong(parts[1]),
                    POOL,
                    "127.0.0.1",
                    1,
                    "dc",
                    2,
                    parts[2].equals("draining"),
                    0));
        }
    }

    /** What a target writes about itself. */
    private record Written(long sequence, boolean draining) {}

    private record DueWrite(long atMillis, Runnable action) {}

    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final Random random;
    private final RestorableStore store = new RestorableStore(clock);
    private final SimulatedTargets targets;
    private final Map<String, SimulatedInstance> instances = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private final Map<String, Written> written = new HashMap<>();
    private final List<DueWrite> writesDue = new ArrayList<>();
    private final Deque<RestorableStore.Copy> copies = new ArrayDeque<>();
    private long version = 1;
    private int boots;
    private boolean exchanging = true;

    RestorationFleet(int seed, int instanceCount, int targetCount) {
        random = new Random(seed);
        targets = new SimulatedTargets(clock, random);
        writeConfiguration();
        for (int index = 0; index < targetCount; index++) {
            writeTarget("t" + index, false);
        }
        for (int index = 0; index < instanceCount; index++) {
            startInstance("i" + index);
        }
    }

    RestorableStore store() {
        return store;
    }

    SimulatedTargets targets() {
        return targets;
    }

    Random random() {
        return random;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    /** Sets whether instances without the store take over the copies of their peers. */
    void setExchanging(boolean isExchanging) {
        exchanging = isExchanging;
    }

    List<SimulatedInstance> instances() {
        return instances.keySet().stream().sorted().map(instances::get).toList();
    }

    List<SimulatedInstance> leaders() {
        return instances().stream().filter(SimulatedInstance::isLeading).toList();
    }

    /** Starts an instance, or a new process of one that was killed. */
    SimulatedInstance startInstance(String name) {
        boots++;
        SimulatedInstance instance =
                new SimulatedInstance(name, name + "-" + boots, store, targets, new Parser(), clock, random);
        instance.setPeers(member -> Optional.ofNullable(instances.get(member.name()))
                .filter(peer -> peer.member().isSameProcess(member) && !unreachable.contains(member.name())));
        instances.put(name, instance);
        unreachable.remove(name);
        return instance;
    }

    void kill(SimulatedInstance instance) {
        instances.remove(instance.member().name());
    }

    /** Sets whether an instance is cut off from the store and its peers; it reaches the targets all the same. */
    void setIsolated(SimulatedInstance instance, boolean isolated) {
        instance.client().setCut(isolated);
        if (isolated) {
            unreachable.add(instance.member().name());
        } else {
            unreachable.remove(instance.member().name());
        }
    }

    void writeConfiguration() {
        store.put(CONFIGURATION, Long.toString(version).getBytes(StandardCharsets.US_ASCII));
    }

    void writeNextConfiguration() {
        version++;
        writeConfiguration();
    }

    long version() {
        return version;
    }

    Set<String> targetIds() {
        return written.keySet();
    }

    void writeTarget(String id, boolean draining) {
        long sequence =
                Optional.ofNullable(written.get(id)).map(Written::sequence).orElse(0L) + 1;
        written.put(id, new Written(sequence, draining));
        putTarget(id, sequence, draining);
    }

    void putTarget(String id, long sequence, boolean draining) {
        String value = "1 " + sequence + (draining ? " draining" : " ready");
        store.put(TARGET_PREFIX + id, value.getBytes(StandardCharsets.US_ASCII));
    }

    KeyTable storedTable() {
        return store.item(StoreKeys.KEY_TABLE_PREFIX + POOL)
                .flatMap(item -> RecordCodec.decodeKeyTable(item.value()))
                .orElse(KeyTable.EMPTY);
    }

    RestorableStore.Copy copy() {
        return store.copy();
    }

    /** Returns a copy of the store from up to some seconds ago. */
    RestorableStore.Copy randomEarlierCopy() {
        List<RestorableStore.Copy> known = new ArrayList<>(copies);
        return known.get(random.nextInt(known.size()));
    }

    /** Restores a copy of the store. The operator and the targets write their own data again within two seconds. */
    void restore(RestorableStore.Copy copy, boolean keepsLeases) {
        store.restore(copy, keepsLeases);
        copies.clear();
        copies.add(store.copy());
        writesDue.clear();
        writesDue.add(new DueWrite(clock.nowMillis() + random.nextInt(2_000), this::writeConfiguration));
        written.keySet().stream()
                .sorted()
                .forEach(id -> writesDue.add(new DueWrite(
                        clock.nowMillis() + random.nextInt(2_000),
                        () -> writeTarget(id, written.get(id).draining()))));
    }

    /** Drops the writes that the operator and the targets would do again after the last restoration. */
    void dropWritesDue() {
        writesDue.clear();
    }

    void run(long millis) {
        long endMillis = clock.nowMillis() + millis;
        while (clock.nowMillis() < endMillis) {
            clock.advance(STEP_MILLIS);
            targets.deliver();
            List<DueWrite> due = writesDue.stream()
                    .filter(write -> write.atMillis() <= clock.nowMillis())
                    .toList();
            writesDue.removeAll(due);
            due.forEach(write -> write.action().run());
            instances().forEach(instance -> instance.run(STEP_MILLIS));
            if (exchanging && clock.nowMillis() % PEER_INTERVAL_MILLIS == 0) {
                exchangeCopies();
            }
            if (clock.nowMillis() % COPY_INTERVAL_MILLIS == 0) {
                copies.addLast(store.copy());
                if (copies.size() > COPIES) {
                    copies.removeFirst();
                }
            }
            checkHolders();
        }
    }

    private void exchangeCopies() {
        List<SimulatedInstance> reachable = instances().stream()
                .filter(instance -> !unreachable.contains(instance.member().name()))
                .toList();
        for (SimulatedInstance asking : reachable) {
            SimulatedInstance peer = reachable.get(random.nextInt(reachable.size()));
            if (peer != asking) {
                asking.askPeer(peer);
            }
        }
    }

    private void checkHolders() {
        for (int key : CHECKED_KEYS) {
            List<String> holders = targets.holders(key);
            if (holders.size() > 1) {
                throw new AssertionError("key " + key + " has holders " + holders + " at " + clock.nowMillis()
                        + " in era " + store.era() + targets.history(key));
            }
        }
        if (!targets.epochsOutOfOrder().isEmpty()) {
            throw new AssertionError(targets.epochsOutOfOrder().get(0) + " at " + clock.nowMillis());
        }
    }
}
