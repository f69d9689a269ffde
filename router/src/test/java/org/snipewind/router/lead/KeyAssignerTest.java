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

/**
 * Guards against keys with two holders, and keys left without one, when ownership requests are lost, late or
 * unanswered, targets are lost and the leader changes.
 */
final class KeyAssignerTest {

    private static final String POOL = "owners";
    private static final int[] CHECKED_KEYS = {0, 1, 9_000, 20_000, 33_333, 47_000, 65_535};
    private static final int RANDOM_SEEDS = 60;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final Map<String, TargetRegistration> registrations = new HashMap<>();
    private Random random = new Random(1);
    private SimulatedTargets targets = new SimulatedTargets(clock, random);
    private SimulatedStore store = new SimulatedStore(clock, random);
    private StoreCache cache = newCache();
    private boolean leading = true;
    private KeyAssigner assigner = newAssigner(clock.nowMillis());

    @AfterEach
    void stopLoop() {
        loop.shutdownNow();
    }

    @Test
    void allKeysGetAHolderAndKeepIt() {
        addTargets(5);
        run(4_000);
        for (int key : CHECKED_KEYS) {
            List<String> holders = targets.holders(key);
            assertThat(holders).hasSize(1);
            run(3_000);
            assertThat(targets.holders(key)).isEqualTo(holders);
        }
    }

    @Test
    void keysOfAnUnresponsiveTargetAreGrantedOnlyAfterItsGrantHasExpired() {
        addTargets(3);
        run(4_000);
        String unresponsive = targets.holders(1).get(0);
        targets.setPartitioned(unresponsive, true);
        run(12_000);
        assertThat(targets.holders(1)).hasSize(1);
        assertThat(targets.holders(1)).doesNotContain(unresponsive);
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

    /** Guards against endless grants to the address of a target that is gone, and a late move of its keys. */
    @Test
    void grantsOfATargetWithoutAnEntryAreNotRenewed() {
        addTargets(1);
        run(4_000);
        assertThat(targets.holders(1)).containsExactly("t0");
        registrations.clear();
        run(4_000);
        assertThat(targets.holders(1)).isEmpty();
        addTarget("new");
        run(1_000);
        assertThat(targets.holders(1)).containsExactly("new");
    }

    /** Guards against keys without a holder after an entry that was gone for a time. */
    @Test
    void aTargetThatRegistersAgainGetsItsKeysBack() {
        addTargets(1);
        run(4_000);
        registrations.clear();
        run(4_000);
        addTargets(1);
        run(1_000);
        assertThat(targets.holders(1)).containsExactly("t0");
    }

    /** Guards against keys without a holder, because the renewals of a target end at the first spoiled response. */
    @Test
    void aSpoiledResponseDoesNotEndTheRenewalsOfTheOtherKeysOfItsTarget() {
        addTargets(4);
        run(4_000);
        targets.crash("t1");
        registrations.remove("t1");
        run(8_000);
        targets.setSpoiledKey(0);
        for (int second = 0; second < 10; second++) {
            run(1_000);
            for (int key = 0; key <= KeyTable.LAST_KEY; key += 64) {
                assertWithMessage("holders of key %s in second %s", key, second)
                        .that(targets.holders(key))
                        .hasSize(1);
            }
        }
    }

    /** Guards against keys that stay permanently with a target to which a request failed to start once. */
    @Test
    void keysOfATargetToWhichNoRequestCanBeStartedMoveAndItGetsSomeAgainLater() {
        addTargets(3);
        run(4_000);
        String unaddressable = targets.holders(1).get(0);
        targets.setUnaddressable(unaddressable, true);
        run(12_000);
        for (int key : CHECKED_KEYS) {
            assertThat(targets.holders(key)).hasSize(1);
            assertThat(targets.holders(key)).doesNotContain(unaddressable);
        }
        targets.setUnaddressable(unaddressable, false);
        run(1_000);
        drain(targets.holders(1).get(0));
        run(4_000);
        assertThat(IntStream.range(0, 256)
                        .anyMatch(index -> targets.holders(index * 256).contains(unaddressable)))
                .isTrue();
    }

    @Test
    void aSuccessorKeepsTheHoldersAndFencesOffTheFormerLeader() {
        addTargets(3);
        run(4_000);
        List<String> previousHolders = targets.holders(20_000);
        KeyAssigner formerAssigner = assigner;
        assigner = newAssigner(clock.nowMillis() + LeaderTimes.LEASE_LIFETIME_MILLIS);
        for (int step = 0; step < 300; step++) {
            // The former leader continues to act until its lease expires.
            formerAssigner.tick(view());
            run(10);
        }
        assertThat(targets.holders(20_000)).isEqualTo(previousHolders);
    }

    @Test
    void aTargetThatJoinsGetsKeysAfterTheOthersHaveReleasedThem() {
        addTargets(2);
        IntStream.range(0, 400).forEach(key -> assigner.recordRequests(key * 160, 1));
        run(3_000);
        addTarget("late");
        for (int step = 0; step < 40; step++) {
            IntStream.range(0, 400).forEach(key -> assigner.recordRequests(key * 160, 1));
            run(100);
        }
        boolean holdsAnyKey = IntStream.rangeClosed(0, KeyTable.LAST_KEY)
                .filter(key -> key % 50 == 0)
                .anyMatch(key -> targets.holders(key).contains("late"));
        assertThat(holdsAnyKey).isTrue();
    }

    /**
     * A target that had started again under its id was granted its keys under the epochs of its former process, as long
     * as the store listed that one.
     */
    @Test
    void aTargetThatHasStartedAgainUnnoticedGetsItsKeysUnderHigherEpochs() {
        addTargets(3);
        run(4_000);
        targets.restartUnnoticed("t1");
        run(3_000);
        for (int key : CHECKED_KEYS) {
            assertThat(targets.holders(key)).hasSize(1);
        }
        registrations.put(
                "t1", new TargetRegistration("t1", clock.nowMillis(), 1, POOL, "127.0.0.1", 1, "dc", 2, false, 0));
        run(5_000);
        for (int key : CHECKED_KEYS) {
            assertThat(targets.holders(key)).hasSize(1);
        }
        assertThat(targets.epochsOutOfOrder()).isEmpty();
    }

    @Test
    void noProcessGetsAKeyUnderAnEpochOfAnotherUnderRandomFaults() {
        for (int seed = 1_000; seed < 1_000 + RANDOM_SEEDS; seed++) {
            restart(seed);
            addTargets(4 + random.nextInt(4));
            for (int phase = 0; phase < 12; phase++) {
                injectFault();
                List<String> ids = List.copyOf(registrations.keySet());
                targets.restartUnnoticed(ids.get(random.nextInt(ids.size())));
                run(300 + random.nextInt(2_500));
            }
            assertWithMessage("seed %s", seed).that(targets.epochsOutOfOrder()).isEmpty();
        }
    }

    @Test
    void noKeyEverHasTwoHoldersUnderRandomFaults() {
        for (int seed = 0; seed < RANDOM_SEEDS; seed++) {
            restart(seed);
            addTargets(4 + random.nextInt(4));
            for (int phase = 0; phase < 12; phase++) {
                injectFault();
                IntStream.range(0, 20)
                        .forEach(each -> assigner.recordRequests(9_000 + random.nextInt(200), random.nextInt(8)));
                run(300 + random.nextInt(2_500));
            }
            targets.setFaults(new SimulatedTargets.Faults(0, 0, 5));
            store.setFaults(0, 0);
            List.copyOf(registrations.keySet()).forEach(this::recover);
            run(15_000);
            for (int key : CHECKED_KEYS) {
                assertWithMessage("seed %s, holders of key %s", seed, key)
                        .that(targets.holders(key))
                        .hasSize(1);
            }
        }
    }

    private void injectFault() {
        List<String> ids = List.copyOf(registrations.keySet());
        String chosen = ids.get(random.nextInt(ids.size()));
        switch (random.nextInt(8)) {
            case 0 -> targets.setFaults(new SimulatedTargets.Faults(0.3, 0, 300));
            case 1 -> targets.setFaults(new SimulatedTargets.Faults(0, 0.4, 50));
            case 2 -> targets.setPartitioned(chosen, true);
            case 3 -> targets.crash(chosen);
            case 4 -> drain(chosen);
            case 5 -> addTarget("joined-" + registrations.size() + "-" + random.nextInt(1_000));
            case 6 -> {
                store.setFaults(0.3, 0.3);
                assigner =
                        newAssigner(clock.nowMillis() + (random.nextBoolean() ? LeaderTimes.LEASE_LIFETIME_MILLIS : 0));
            }
            default -> {
                targets.setFaults(new SimulatedTargets.Faults(0, 0, 5));
                store.setFaults(0, 0);
                recover(chosen);
            }
        }
    }

    /** Reconnects a partitioned target, or restarts a crashed one as a new process, which holds no keys. */
    private void recover(String id) {
        if (targets.isUnreachable(id)) {
            TargetRegistration old = registrations.get(id);
            long started = targets.hasCrashed(id) ? clock.nowMillis() : old.startedAtMillis();
            registrations.put(
                    id,
                    new TargetRegistration(
                            id, started, old.sequence() + 1, POOL, "127.0.0.1", 1, "dc", 2, old.draining(), 0));
            targets.setPartitioned(id, false);
        }
    }

    private void restart(int seed) {
        random = new Random(seed);
        registrations.clear();
        targets = new SimulatedTargets(clock, random);
        store = new SimulatedStore(clock, random);
        cache = newCache();
        assigner = newAssigner(clock.nowMillis());
    }

    private StoreCache newCache() {
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

    private KeyAssigner newAssigner(long formerLeaderUntilMillis) {
        return new KeyAssigner(POOL, store, cache, targets, clock, log(), () -> leading, formerLeaderUntilMillis);
    }

    private void addTargets(int count) {
        IntStream.range(0, count).forEach(index -> addTarget("t" + index));
    }

    private void addTarget(String id) {
        registrations.put(id, new TargetRegistration(id, 1, 1, POOL, "127.0.0.1", 1, "dc", 2, false, 0));
    }

    private void drain(String id) {
        if (registrations.values().stream().filter(entry -> !entry.draining()).count() > 2) {
            registrations.put(id, new TargetRegistration(id, 1, 2, POOL, "127.0.0.1", 1, "dc", 2, true, 0));
        }
    }

    private FleetView view() {
        Map<String, TargetState> states = new HashMap<>();
        registrations.forEach((id, entry) -> states.put(id, new TargetState(entry, clock.nowMillis())));
        List<TargetState> inService = states.values().stream()
                .filter(state -> !state.registration().draining())
                .toList();
        Map<String, KeyTable> tables = new HashMap<>();
        cache.item(StoreKeys.KEY_TABLE_PREFIX + POOL)
                .flatMap(item -> RecordCodec.decodeKeyTable(item.value()))
                .ifPresent(table -> tables.put(POOL, table));
        RoutingConfiguration configuration = new RoutingConfiguration(
                1, List.of(), List.of(new Pool(POOL, true, 10, 1, "/health")), List.of(), CallerLimits.DEFAULT);
        return new FleetView(
                Optional.of(configuration),
                states,
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
                assigner.tick(view());
            }
            for (int key : CHECKED_KEYS) {
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
