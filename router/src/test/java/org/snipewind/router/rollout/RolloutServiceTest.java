package org.snipewind.router.rollout;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.rollout.RolloutOrder;
import org.snipewind.coordination.rollout.RolloutPhase;
import org.snipewind.coordination.rollout.RolloutRecord;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.port.UnresponsiveStore;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.RolloutRecordCodec;
import org.snipewind.router.state.StoreCache;

/** The leader's service over a store in memory, with a manual clock and without threads. */
final class RolloutServiceTest {

    private static final String POOL = "pool";

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final EventLoop loop = new DefaultEventLoop();
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final MemoryStore store = new MemoryStore();
    private final Parser parser = new Parser();
    private final FleetTracker tracker = new FleetTracker(parser, clock, log);
    private final StoreCache cache = new StoreCache(store, loop, clock, log, tracker);
    private final ProcessMetrics metrics = new ProcessMetrics();
    private boolean leading = true;
    private RolloutService service = newService();

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully();
    }

    private RolloutService newService() {
        return new RolloutService(store, cache, tracker, parser, clock, log, metrics, () -> leading);
    }

    private void put(String key, String value) {
        store.put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void startRollout() {
        put("config", "");
        put("target/a", "v1");
        put("target/b", "v2");
        put("order/" + POOL, "v2");
        deliver();
        service.tick();
        deliver();
    }

    /** Delivers all writes to the copy, as the watch does. */
    private void deliver() {
        store.items.values().forEach(cache::applyWrite);
    }

    private RolloutRecord record() {
        return tracker.view().rollouts().get(POOL).record().orElseThrow();
    }

    private String status() {
        return new String(store.items.get("status/" + POOL).value(), StandardCharsets.UTF_8);
    }

    private void report(String process, long bad) {
        RolloutReport.PoolReport report = new RolloutReport.PoolReport(
                POOL,
                store.items.get("order/" + POOL).revision(),
                tracker.view().rollouts().get(POOL).recordRevision(),
                0,
                List.of(
                        new RolloutReport.RouteCount("v1", "r", 1_000, 0, 1_000, 50_000),
                        new RolloutReport.RouteCount("v2", "r", 40, bad, 40 - bad, 2_000)));
        service.handleReport(process, new RolloutReport(List.of(report)));
    }

    @Test
    void recordAndStatusAreWrittenTogether() {
        startRollout();
        assertThat(record().phase()).isEqualTo(RolloutPhase.CANARY);
        assertThat(status()).isEqualTo("CANARY v2");
        report("p1", 20);
        clock.advance(100);
        service.tick();
        deliver();
        assertThat(record().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
        assertThat(status()).isEqualTo("ROLLED_BACK v2");
        assertThat(store.commits.get(store.commits.size() - 1)).hasSize(2);
        assertThat(metrics.counterValue("rollouts.rolled-back")).isEqualTo(1);
    }

    /** Guards against evidence that is counted twice because a report contains the totals of earlier ones. */
    @Test
    void aLaterReportOfAnInstanceReplacesItsEarlierOne() {
        startRollout();
        for (int count = 0; count < 10; count++) {
            report("p1", 1);
        }
        clock.advance(100);
        service.tick();
        deliver();
        assertThat(record().phase()).isEqualTo(RolloutPhase.CANARY);
    }

    /** Guards against a leader that overwrites the record of its successor. */
    @Test
    void aWriteThatConflictsChangesNothingAndIsDecidedAgain() {
        startRollout();
        RolloutRecord written = record();
        store.put("snipewind/rollouts/" + POOL, RolloutRecordCodec.encode(written.rolledBack(500)));
        report("p1", 20);
        clock.advance(100);
        service.tick();
        assertThat(status()).isEqualTo("CANARY v2");
        deliver();
        clock.advance(2_000);
        service.tick();
        deliver();
        assertThat(record().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
        assertThat(record().elapsedMillis()).isEqualTo(500);
    }

    /** Guards against a new leader that goes on from the record before the instances have reported to it. */
    @Test
    void aNewLeaderTakesNoStepBeforeItHasEvidence() {
        startRollout();
        clock.advance(7_000);
        service = newService();
        service.tick();
        deliver();
        assertThat(record().phase()).isEqualTo(RolloutPhase.CANARY);
        report("p1", 0);
        clock.advance(1_000);
        service.tick();
        deliver();
        assertThat(record().phase()).isEqualTo(RolloutPhase.RAMP);
    }

    @Test
    void anInstanceThatDoesNotLeadWritesNothing() {
        leading = false;
        startRollout();
        assertThat(store.commits).isEmpty();
    }

    /** Guards against an unreadable order that ends the roll-out of an earlier one. */
    @Test
    void anUnreadableOrderLeavesTheEarlierOneInForce() {
        startRollout();
        long revision = record().orderRevision();
        put("order/" + POOL, "unreadable");
        deliver();
        service.tick();
        deliver();
        assertThat(record().orderRevision()).isEqualTo(revision);
        assertThat(record().phase()).isEqualTo(RolloutPhase.CANARY);
        assertThat(tracker.view().rollouts().get(POOL).order().orElseThrow().version())
                .isEqualTo("v2");
    }

    /** Reads the version as the whole value of a target or an order. */
    private static final class Parser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            return switch (key.substring(0, Math.max(0, key.indexOf('/')))) {
                case "target" -> Optional.of(Kind.TARGET);
                case "order" -> Optional.of(Kind.ROLLOUT_ORDER);
                default -> key.equals("config") ? Optional.of(Kind.CONFIGURATION) : Optional.empty();
            };
        }

        @Override
        public String entityIdOf(String key) {
            return key.substring(key.indexOf('/') + 1);
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            return Either.right(new RoutingConfiguration(
                    1, List.of(), List.of(new Pool(POOL, false, 10, 1, "/h")), List.of(), CallerLimits.DEFAULT));
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            String version = new String(value, StandardCharsets.UTF_8);
            return Either.right(new TargetRegistration(id, 1, 1, POOL, "127.0.0.1", 1, "dc", 2, false, 0, version));
        }

        @Override
        public Either<String, RolloutOrder> parseRolloutOrder(String pool, long revision, byte[] value) {
            String version = new String(value, StandardCharsets.UTF_8);
            return version.equals("unreadable")
                    ? Either.left("version is unreadable")
                    : Either.right(new RolloutOrder(version, 12_000, revision));
        }

        @Override
        public String rolloutStatusKey(String pool) {
            return "status/" + pool;
        }

        @Override
        public byte[] rolloutStatus(RolloutPhase phase, String version) {
            return (phase + " " + version).getBytes(StandardCharsets.UTF_8);
        }
    }

    /** A store that commits at once; only commits are used. */
    private static final class MemoryStore extends UnresponsiveStore {
        private final Map<String, StoreItem> items = new HashMap<>();
        private final List<List<StoreWrite>> commits = new ArrayList<>();
        private long revision = 1;

        void put(String key, byte[] value) {
            revision++;
            items.put(key, new StoreItem(key, value, revision, 0));
        }

        @Override
        public CompletableFuture<Long> commit(List<StoreWrite> writes) {
            for (StoreWrite write : writes) {
                StoreItem current = items.get(write.key());
                if ((current == null ? 0 : current.revision()) != write.expectedRevision()) {
                    return CompletableFuture.failedFuture(
                            new StoreException(StoreException.Kind.CONFLICT, write.key()));
                }
            }
            commits.add(writes);
            writes.forEach(write -> put(write.key(), write.value()));
            return CompletableFuture.completedFuture(revision);
        }

        @Override
        public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
            return new CompletableFuture<>();
        }
    }
}
