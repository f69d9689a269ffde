package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.DefaultEventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreCacheListener;
import org.snipewind.router.state.StoreKeys;

/** Guards sole ownership of keys under lost, late and unanswered orders, lost targets and changes of the leader. */
final class KeyAssignerTest {

    private static final String POOL = "owners";
    private static final int[] WATCHED_KEYS = {0, 1, 9_000, 20_000, 33_333, 47_000, 65_535};
    private static final int RANDOM_RUNS = 60;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final Map<String, TargetRegistration> entries = new HashMap<>();
    private Random random = new Random(1);
    private SimulatedTargets targets = new SimulatedTargets(clock, random);
    private SimulatedStore store = new SimulatedStore(clock, random);
    private StoreCache mirror = newMirror();
    private boolean leading = true;
    private KeyAssigner grantor = newGrantor(clock.nowMillis());

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    @Test
    void allKeysGetAHolderAndKeepIt() {
        addTargets(5);
        run(4_000);
        for (int key : WATCHED_KEYS) {
            List<String> holders = targets.holders(key);
            assertThat(holders).hasSize(1);
            run(3_000);
            assertThat(targets.holders(key)).isEqualTo(holders);
        }
    }

    @Test
    void keysOfASilentTargetAreGrantedOnlyAfterItsHoldHasRunOut() {
        addTargets(3);
        run(4_000);
        String silent = targets.holders(1).get(0);
        targets.setCutOff(silent, true);
        run(12_000);
        assertThat(targets.holders(1)).hasSize(1);
        assertThat(targets.holders(1)).doesNotContain(silent);
    }

    @Test
    void keysOfACrashedTargetAreServedAgainWithinFiveSeconds() {
        addTargets(3);
        run(4_000);
        String crashed = targets.holders(1).get(0);
        targets.crash(crashed);
        run(5_000);
        assertThat(targets.holders(1)).hasSize(1);
        assertThat(targets.holders(1)).doesNotContain(crashed);
    }

    @Test
    void aSuccessorKeepsTheHoldersAndFencesTheFormerLeaderOff() {
        addTargets(3);
        run(4_000);
        List<String> before = targets.holders(20_000);
        KeyAssigner former = grantor;
        grantor = newGrantor(clock.nowMillis() + LeaderTimes.LEASE_MILLIS);
        for (int step = 0; step < 300; step++) {
            // The former leader goes on for the rest of its lease.
            former.tick(view());
            run(10);
        }
        assertThat(targets.holders(20_000)).isEqualTo(before);
    }

    @Test
    void aTargetThatJoinsGetsKeysAndTheOthersGiveThemUpFirst() {
        addTargets(2);
        IntStream.range(0, 400).forEach(key -> grantor.count(key * 160, 1));
        run(3_000);
        addTarget("late");
        for (int step = 0; step < 40; step++) {
            IntStream.range(0, 400).forEach(key -> grantor.count(key * 160, 1));
            run(100);
        }
        boolean holdsSome = IntStream.rangeClosed(0, KeyTable.LAST_KEY)
                .filter(key -> key % 50 == 0)
                .anyMatch(key -> targets.holders(key).contains("late"));
        assertThat(holdsSome).isTrue();
    }

    @Test
    void noKeyEverHasTwoHoldersUnderRandomFaults() {
        for (int seed = 0; seed < RANDOM_RUNS; seed++) {
            restart(seed);
            addTargets(4 + random.nextInt(4));
            for (int phase = 0; phase < 12; phase++) {
                disturb();
                IntStream.range(0, 20).forEach(each -> grantor.count(9_000 + random.nextInt(200), random.nextInt(8)));
                run(300 + random.nextInt(2_500));
            }
            targets.setFaults(new SimulatedTargets.Faults(0, 0, 5));
            store.setFaults(0, 0);
            List.copyOf(entries.keySet()).forEach(this::recover);
            run(15_000);
            for (int key : WATCHED_KEYS) {
                assertWithMessage("seed %s, holders of key %s", seed, key)
                        .that(targets.holders(key))
                        .hasSize(1);
            }
        }
    }

    private void disturb() {
        List<String> ids = List.copyOf(entries.keySet());
        String chosen = ids.get(random.nextInt(ids.size()));
        switch (random.nextInt(8)) {
            case 0 -> targets.setFaults(new SimulatedTargets.Faults(0.3, 0, 300));
            case 1 -> targets.setFaults(new SimulatedTargets.Faults(0, 0.4, 50));
            case 2 -> targets.setCutOff(chosen, true);
            case 3 -> targets.crash(chosen);
            case 4 -> drain(chosen);
            case 5 -> addTarget("joined-" + entries.size() + "-" + random.nextInt(1_000));
            case 6 -> {
                store.setFaults(0.3, 0.3);
                grantor = newGrantor(clock.nowMillis() + (random.nextBoolean() ? LeaderTimes.LEASE_MILLIS : 0));
            }
            default -> {
                targets.setFaults(new SimulatedTargets.Faults(0, 0, 5));
                store.setFaults(0, 0);
                recover(chosen);
            }
        }
    }

    /** A target that was cut off goes on; one that crashed comes back as a new process, which holds nothing. */
    private void recover(String id) {
        if (targets.isDown(id)) {
            TargetRegistration old = entries.get(id);
            long started = targets.hasCrashed(id) ? clock.nowMillis() : old.startedAtMillis();
            entries.put(
                    id,
                    new TargetRegistration(
                            id, started, old.sequence() + 1, POOL, "127.0.0.1", 1, "dc", 2, old.draining(), 0));
            targets.setCutOff(id, false);
        }
    }

    private void restart(int seed) {
        random = new Random(seed);
        entries.clear();
        targets = new SimulatedTargets(clock, random);
        store = new SimulatedStore(clock, random);
        mirror = newMirror();
        grantor = newGrantor(clock.nowMillis());
    }

    private StoreCache newMirror() {
        return new StoreCache(store, loop, clock, log(), new StoreCacheListener() {
            @Override
            public void itemChanged(StoreItem item) {}

            @Override
            public void itemRemoved(String key) {}

            @Override
            public void changesApplied() {}
        });
    }

    private RouterEventLog log() {
        return new RouterEventLog("test", clock);
    }

    private KeyAssigner newGrantor(long formerUntilMillis) {
        return new KeyAssigner(POOL, store, mirror, targets, clock, log(), () -> leading, formerUntilMillis);
    }

    private void addTargets(int count) {
        IntStream.range(0, count).forEach(index -> addTarget("t" + index));
    }

    private void addTarget(String id) {
        entries.put(id, new TargetRegistration(id, 1, 1, POOL, "127.0.0.1", 1, "dc", 2, false, 0));
    }

    private void drain(String id) {
        if (entries.values().stream().filter(entry -> !entry.draining()).count() > 2) {
            entries.put(id, new TargetRegistration(id, 1, 2, POOL, "127.0.0.1", 1, "dc", 2, true, 0));
        }
    }

    private FleetView view() {
        Map<String, TargetState> known = new HashMap<>();
        entries.forEach((id, entry) -> known.put(id, new TargetState(entry, clock.nowMillis())));
        List<TargetState> inService = known.values().stream()
                .filter(state -> !state.registration().draining())
                .toList();
        Map<String, KeyTable> tables = new HashMap<>();
        mirror.item(StoreKeys.KEY_TABLE_PREFIX + POOL)
                .flatMap(item -> RecordCodec.decodeKeyTable(item.value()))
                .ifPresent(table -> tables.put(POOL, table));
        RoutingConfiguration configuration = new RoutingConfiguration(
                1, List.of(), List.of(new Pool(POOL, true, 10, 1, "/health")), List.of(), CallerLimits.DEFAULT);
        return new FleetView(
                Optional.of(configuration),
                known,
                Map.of(POOL, inService),
                Set.of(),
                Map.of(),
                tables,
                Optional.empty(),
                1);
    }

    private void run(long millis) {
        long end = clock.nowMillis() + millis;
        while (clock.nowMillis() < end) {
            targets.deliver();
            if (clock.nowMillis() % 50 == 0) {
                grantor.tick(view());
            }
            for (int key : WATCHED_KEYS) {
                if (targets.holders(key).size() <= 1) {
                    continue;
                }
                assertWithMessage(
                                "holders of key %s at %s%s%s",
                                key, clock.nowMillis(), targets.history(key), store.history(key))
                        .that(targets.holders(key).size())
                        .isAtMost(1);
            }
            clock.advance(1);
        }
    }
}
