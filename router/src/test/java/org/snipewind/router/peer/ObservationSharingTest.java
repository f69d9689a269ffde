package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.target.LoadReport;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.ObservationDelta;
import org.snipewind.protocol.PeerException;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;

/** Guards against instances that lose their view of the targets with the exchange, or never use it again. */
final class ObservationSharingTest {

    private static final int LARGE_FLEET = 25;
    private static final double SERVICE_MILLIS = 300;

    /** An instance of the fleet with its own states of the targets. */
    private final class Instance {
        private final MemberRecord self;
        private final TargetState target = new TargetState(
                new TargetRegistration("t1", 1, 1, "scores", "127.0.0.1", 1, "dc", 3, false, 0), clock.nowMillis());
        private final ObservationSharing sharing;

        Instance(int index) {
            self = new MemberRecord(
                    "entry-" + index, "boot-" + index, "127.0.0.1:" + (1_000 + index), "dc", index < 2 ? 9 - index : 1);
            sharing = new ObservationSharing(
                    ObservationSharingTest.this::call,
                    () -> view(Map.of("t1", target)),
                    clock,
                    new RouterEventLog(self.name(), clock),
                    new ProcessMetrics(),
                    self);
        }

        void respond(double millis) {
            target.onRequestSent(clock.nowMillis());
            target.onLoadReport(new LoadReport(1, 0, 3, 1), clock.nowMillis());
            target.onRequestEnded();
            target.onResponse(millis, clock.nowMillis());
        }
    }

    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final List<Instance> instances = new ArrayList<>();
    private final List<String> called = new ArrayList<>();
    private final Map<String, MemberRecord> members = new HashMap<>();
    private MemberRecord sender;
    private String silentRelay = "";
    private boolean answersLost;

    private void startFleet(int count) {
        for (int index = 0; index < count; index++) {
            Instance instance = new Instance(index);
            instances.add(instance);
            members.put(instance.self.name(), instance.self);
        }
    }

    private FleetView view(Map<String, TargetState> targets) {
        return new FleetView(
                Optional.empty(),
                targets,
                Map.of(),
                Set.of(),
                Map.copyOf(members),
                Map.of(),
                Optional.empty(),
                members.size());
    }

    private CompletableFuture<PeerMessage> call(MemberRecord relay, ObservationDelta delta) {
        called.add(relay.name());
        if (relay.name().equals(silentRelay)) {
            return CompletableFuture.failedFuture(new PeerException("no answer", false, null));
        }
        PeerMessage answer = instances.stream()
                .filter(instance -> instance.self.name().equals(relay.name()))
                .findFirst()
                .orElseThrow()
                .sharing
                .answer(sender.processId(), delta);
        return answersLost
                ? CompletableFuture.failedFuture(new PeerException("answer lost", true, null))
                : CompletableFuture.completedFuture(answer);
    }

    private void exchangeAll() {
        for (Instance instance : instances) {
            sender = instance.self;
            instance.sharing.exchangeObservations();
        }
        clock.advance(ObservationSharing.EXCHANGE_INTERVAL_MILLIS);
    }

    @Test
    void anInstanceLearnsTheServiceTimeOfATargetThatItNeverUsed() {
        startFleet(LARGE_FLEET);
        instances.get(7).respond(SERVICE_MILLIS);
        exchangeAll();
        exchangeAll();
        for (Instance instance : instances) {
            assertThat(instance.target.meanServiceMillis()).isWithin(0.1).of(SERVICE_MILLIS);
        }
    }

    @Test
    void theInstanceWithTheHighestCapacityIsAsked() {
        startFleet(LARGE_FLEET);
        exchangeAll();
        assertThat(Set.copyOf(called)).containsExactly("entry-0");
        assertThat(called).hasSize(LARGE_FLEET - 1);
    }

    /** Guards against messages in fleets that are served well without them. */
    @Test
    void aSmallFleetExchangesNothing() {
        startFleet(ObservationSharing.MAX_FLEET_WITHOUT_SHARING);
        instances.get(7).respond(SERVICE_MILLIS);
        exchangeAll();
        exchangeAll();
        assertThat(called).isEmpty();
        assertThat(instances.get(3).target.meanServiceMillis()).isNotEqualTo(SERVICE_MILLIS);
    }

    /** Load: the exchange is lost in the middle. */
    @Test
    void withoutTheExchangeAnInstanceGoesOnWithItsOwnObservationsAndThenUsesTheNextAnswer() {
        startFleet(LARGE_FLEET);
        instances.get(7).respond(SERVICE_MILLIS);
        exchangeAll();
        exchangeAll();
        answersLost = true;
        instances.get(5).respond(100);
        double own = instances.get(5).target.meanServiceMillis();
        assertThat(own).isLessThan(SERVICE_MILLIS);
        exchangeAll();
        exchangeAll();
        assertThat(instances.get(5).target.meanServiceMillis()).isEqualTo(own);
        assertThat(instances.get(9).target.meanServiceMillis()).isWithin(0.1).of(SERVICE_MILLIS);
        answersLost = false;
        for (int round = 0; round < 12; round++) {
            instances.get(5).respond(100);
            exchangeAll();
        }
        assertThat(instances.get(9).target.meanServiceMillis()).isLessThan(SERVICE_MILLIS * 0.8);
    }

    /** Guards against a data centre without exchange because its relay hangs. */
    @Test
    void anotherInstanceIsAskedWhileTheRelayDoesNotAnswer() {
        startFleet(LARGE_FLEET);
        silentRelay = "entry-0";
        exchangeAll();
        called.clear();
        instances.get(7).respond(SERVICE_MILLIS);
        exchangeAll();
        exchangeAll();
        assertThat(Set.copyOf(called)).containsExactly("entry-1");
        assertThat(instances.get(12).target.meanServiceMillis()).isWithin(0.1).of(SERVICE_MILLIS);
        silentRelay = "";
        clock.advance(ObservationSharing.AVOID_MILLIS);
        called.clear();
        exchangeAll();
        assertThat(Set.copyOf(called)).containsExactly("entry-0");
    }

    /** Guards against counts that grow each time an answer is lost. */
    @Test
    void theDifferencesAreSentOnlyOnce() {
        startFleet(LARGE_FLEET);
        instances.get(7).respond(SERVICE_MILLIS);
        answersLost = true;
        exchangeAll();
        assertThat(instances.get(7).target.drainObservation(clock.nowMillis())).isEqualTo(Optional.empty());
    }
}
