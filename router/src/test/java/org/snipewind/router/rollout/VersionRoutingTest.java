package org.snipewind.router.rollout;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.rollout.RolloutOrder;
import org.snipewind.coordination.rollout.RolloutPhase;
import org.snipewind.coordination.rollout.RolloutRecord;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.RolloutRecordCodec;

final class VersionRoutingTest {

    private static final String POOL = "pool";

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final FleetTracker tracker = new FleetTracker(new Parser(), clock, new RouterEventLog("test", clock));
    private final VersionRouting routing = new VersionRouting(tracker, clock);
    private final AtomicLong copyAge = new AtomicLong();
    private long revision = 10;

    @BeforeEach
    void registerTargets() {
        routing.connect(copyAge::get, new ProcessMetrics());
        tracker.addObserver(routing.evidence()::onViewChanged);
        change("target/a", "v1");
        change("target/b", "v2");
        change("order/" + POOL, "v2");
    }

    private void change(String key, String value) {
        change(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void change(String key, byte[] value) {
        revision++;
        tracker.itemChanged(new StoreItem(key, value, revision, 0));
        tracker.changesApplied();
    }

    private void setRecord(RolloutPhase phase, double share) {
        long orderRevision =
                tracker.view().rollouts().get(POOL).order().orElseThrow().revision();
        change(
                "snipewind/rollouts/" + POOL,
                RolloutRecordCodec.encode(
                        new RolloutRecord("v2", orderRevision, phase, share, 12_000, 0, List.of("v1"), List.of())));
    }

    private TargetState target(String id) {
        return tracker.view().targets().get(id);
    }

    private long countIntroduced(boolean firstAttempt, boolean usable) {
        List<TargetState> inService = tracker.view().inService().get(POOL);
        long count = 0;
        for (int index = 0; index < 10_000; index++) {
            List<TargetState> chosen = routing.candidates(POOL, inService, firstAttempt, target -> usable);
            assertThat(chosen).hasSize(1);
            count += chosen.get(0).registration().version().equals("v2") ? 1 : 0;
        }
        return count;
    }

    /** Guards against a share that repeated attempts, or targets that take no requests, turn into another one. */
    @Test
    void theShareOfTheFirstAttemptsGoesToTheNewVersion() {
        assertThat(countIntroduced(true, true)).isEqualTo(0);
        setRecord(RolloutPhase.CANARY, 0.1);
        assertThat(countIntroduced(true, true)).isAtLeast(800);
        assertThat(countIntroduced(true, true)).isAtMost(1_200);
        assertThat(countIntroduced(false, true)).isEqualTo(0);
        assertThat(countIntroduced(true, false)).isEqualTo(0);
        setRecord(RolloutPhase.FULL, 1);
        assertThat(countIntroduced(false, false)).isEqualTo(10_000);
        assertThat(routing.mayUse(target("a"))).isFalse();
    }

    /** Guards against requests to a version that may have been rolled back while this instance was cut off. */
    @Test
    void anOldCopyExcludesTheVersionThatIsIntroduced() {
        setRecord(RolloutPhase.FULL, 1);
        copyAge.set(2_001);
        assertThat(countIntroduced(true, true)).isEqualTo(0);
        assertThat(routing.mayUse(target("b"))).isFalse();
        assertThat(routing.mayUse(target("a"))).isTrue();
    }

    /** Guards against requests to old targets that the platform has stopped and whose entries are still there. */
    @Test
    void replacedVersionsGetNothingForSomeTimeAfterTheirOrderIsGone() {
        setRecord(RolloutPhase.COMPLETED, 1);
        tracker.itemRemoved("order/" + POOL);
        tracker.changesApplied();
        assertThat(routing.mayUse(target("a"))).isFalse();
        clock.advance(10_000);
        assertThat(routing.mayUse(target("a"))).isTrue();
    }

    /** Guards against a version that is taken for slow while its targets are cold, and for bad because one crashed. */
    @Test
    void responsesOfColdTargetsAreNotTimedAndRequestsLostTogetherCountOnce() {
        setRecord(RolloutPhase.CANARY, 0.1);
        routing.evidence().recordResponse(target("b"), "r", 500);
        clock.advance(4_900);
        routing.evidence().recordResponse(target("b"), "r", 50);
        for (int index = 0; index < 6; index++) {
            routing.evidence().recordLoss(target("b"), "r");
        }
        target("a").onRequestSent(clock.nowMillis());
        RolloutReport.PoolReport report = routing.evidence().report().pools().get(0);
        assertThat(report.routes()).containsExactly(new RolloutReport.RouteCount("v2", "r", 3, 1, 1, 50));
        assertThat(report.othersInFlight()).isEqualTo(1);
        change("order/" + POOL, "v2");
        assertThat(routing.evidence().report().pools().get(0).routes()).isEmpty();
    }

    /** Reads the version as the whole value of a target or an order. */
    private static final class Parser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            return Optional.of(key.startsWith("order/") ? Kind.ROLLOUT_ORDER : Kind.TARGET);
        }

        @Override
        public String entityIdOf(String key) {
            return key.substring(key.indexOf('/') + 1);
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            return Either.left("there is none");
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            return Either.right(new TargetRegistration(
                    id, 1, 1, POOL, "h", 1, "dc", 2, false, 0, new String(value, StandardCharsets.UTF_8)));
        }

        @Override
        public Either<String, RolloutOrder> parseRolloutOrder(String pool, long orderRevision, byte[] value) {
            return Either.right(new RolloutOrder(new String(value, StandardCharsets.UTF_8), 12_000, orderRevision));
        }
    }
}
