package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against wrong decisions on targets to which this instance has sent no request lately. */
final class SharedObservationsTest {

    private static final int SLOTS = 3;
    private static final double ALLOWED_MILLIS = 600;
    private static final double QUEUED_PER_SLOT = 2.5;
    private static final int INSTANCES = 74;

    private final ObservationExchange exchange = new ObservationExchange();
    private long now = 100_000;

    private static TargetState target(String id) {
        return new TargetState(
                new TargetRegistration(id, 1, 1, "scores", "127.0.0.1", 1, "dc", SLOTS, false, 0), 100_000);
    }

    private void respond(TargetState state, double serviceMillis, LoadReport report) {
        state.onRequestSent(now);
        state.onLoadReport(report, now);
        state.onRequestEnded();
        state.onResponse(serviceMillis, now);
    }

    private void share(String member, TargetState state) {
        exchange.exchange(member, 0, state.drainObservation(now).map(List::of).orElse(List.of()), now);
    }

    private void receive(String member, TargetState state) {
        exchange.exchange(member, 0, List.of(), now).observations().stream()
                .filter(each -> each.target() == TargetObservation.numberOf(state.incarnation()))
                .forEach(each -> state.onObservation(each, now));
    }

    /** Load: speeds from 0.5 to 1.6. Guards against estimates that are the same for all unused targets. */
    @Test
    void theMergedEstimateOfATargetThatThisInstanceNeverUsedIsRight() {
        TargetState seenByFirst = target("t1");
        TargetState seenBySecond = target("t1");
        for (int request = 0; request < 3; request++) {
            respond(seenByFirst, 360, new LoadReport(1, 0, SLOTS, 1));
        }
        respond(seenBySecond, 400, new LoadReport(1, 0, SLOTS, 1));
        share("first", seenByFirst);
        share("second", seenBySecond);
        TargetState unused = target("t1");
        assertThat(unused.hasResponded()).isFalse();
        receive("third", unused);
        assertThat(unused.hasResponded()).isTrue();
        assertThat(unused.meanServiceMillis()).isWithin(0.1).of(370);
        assertThat(unused.expectedResponseMillis(now)).isAtLeast(370.0);
        assertThat(unused.expectedResponseMillis(now)).isAtMost(500.0);
    }

    /** Load: a burst at one target. Guards against requests that join a queue which others have seen to be full. */
    @Test
    void aTargetWhoseQueueOthersSawToBeFullHasNoRoom() {
        TargetState seen = target("t1");
        respond(seen, 900, new LoadReport(SLOTS, 12, SLOTS, 1));
        TargetState unused = target("t1");
        assertThat(unused.hasRoom(now, ALLOWED_MILLIS, QUEUED_PER_SLOT, INSTANCES))
                .isTrue();
        share("first", seen);
        now += 100;
        receive("second", unused);
        assertThat(unused.hasRoom(now, ALLOWED_MILLIS, QUEUED_PER_SLOT, INSTANCES))
                .isFalse();
    }

    /** Guards against a target that stays avoided because of a report that nobody renews. */
    @Test
    void aLoadReportOfAnotherInstanceExpiresAfterASecond() {
        TargetState seen = target("t1");
        // Eleven times the service time of a second; without expiry, the target would be busy for ten seconds more.
        respond(seen, 11_000, new LoadReport(SLOTS, 30, SLOTS, 1));
        share("first", seen);
        TargetState unused = target("t1");
        receive("second", unused);
        double loaded = unused.expectedResponseMillis(now);
        now += 1_001;
        assertThat(unused.expectedResponseMillis(now)).isLessThan(loaded / 2);
        assertThat(unused.hasRoom(now, ALLOWED_MILLIS, QUEUED_PER_SLOT, INSTANCES))
                .isTrue();
        assertThat(unused.millisUntilRoom(now, ALLOWED_MILLIS)).isLessThan(400.0);
    }

    /** Guards against reports and counts that an instance receives long after they were made. */
    @Test
    void theExchangeReturnsNoStaleEntries() {
        TargetState seen = target("t1");
        respond(seen, 200, new LoadReport(SLOTS, 5, SLOTS, 1));
        share("first", seen);
        now += 1_001;
        TargetObservation withoutLoad =
                exchange.exchange("second", 0, List.of(), now).observations().get(0);
        assertThat(withoutLoad.load()).isEqualTo(Optional.empty());
        assertThat(withoutLoad.responses()).isEqualTo(1);
        now += ObservationExchange.LIFETIME_MILLIS;
        assertThat(exchange.exchange("second", 0, List.of(), now).observations())
                .isEmpty();
    }

    /** Load: targets that reject although they are free. Guards against instances that each find this out alone. */
    @Test
    void aTargetThatRejectsTheRequestsOfOthersIsPausedAndThenExpectedToCostMore() {
        TargetState seen = target("t1");
        respond(seen, 200, new LoadReport(0, 0, SLOTS, 1));
        share("first", seen);
        TargetState unused = target("t1");
        receive("second", unused);
        double before = unused.expectedResponseMillis(now);
        for (int rejection = 0; rejection < 3; rejection++) {
            seen.onErrorResponse(now);
        }
        ObservationExchange.Result known = exchange.exchange("second", 0, List.of(), now);
        share("first", seen);
        exchange.exchange("second", known.sequence(), List.of(), now)
                .observations()
                .forEach(each -> unused.onObservation(each, now));
        assertThat(unused.isPaused(now)).isTrue();
        now += 500;
        assertThat(unused.isPaused(now)).isFalse();
        assertThat(unused.expectedResponseMillis(now)).isGreaterThan(before * 1.2);
    }

    /** Load: slow moments that change many times a second. Guards against a slowdown that is believed for too long. */
    @Test
    void aSlowdownThatOthersReportFadesWithItsAge() {
        TargetState seen = target("t1");
        respond(seen, 600, new LoadReport(1, 0, SLOTS, 3));
        share("first", seen);
        TargetState unused = target("t1");
        receive("second", unused);
        assertThat(unused.expectedResponseMillis(now)).isWithin(30).of(600);
        now += 200;
        assertThat(unused.expectedResponseMillis(now)).isWithin(40).of(400);
        now += 200;
        assertThat(unused.expectedResponseMillis(now)).isWithin(20).of(200);
    }

    /** Load: a busy pool. Guards against a target that counts as idle as soon as its last report has been served. */
    @Test
    void requestsThatOthersAreExpectedToHaveInFlightCountAsLoad() {
        TargetState busy = target("busy");
        TargetState idle = target("idle");
        int number = TargetObservation.numberOf(busy.incarnation());
        for (int step = 0; step < 20; step++) {
            now += 250;
            // 20 requests per second of 200 ms each keep four of them in flight.
            busy.onObservation(new TargetObservation(number, 5, 2_000, 0, Optional.empty()), now);
        }
        idle.onObservation(
                new TargetObservation(TargetObservation.numberOf(idle.incarnation()), 1, 2_000, 0, Optional.empty()),
                now);
        assertThat(idle.expectedResponseMillis(now)).isWithin(1).of(200);
        assertThat(busy.expectedResponseMillis(now)).isWithin(60).of(330);
    }

    /** Guards against a report that comes back to the instance that made it, and looks newer than it is. */
    @Test
    void aReportOfAnotherInstanceIsNotPassedOn() {
        TargetState seen = target("t1");
        respond(seen, 200, new LoadReport(1, 0, SLOTS, 1));
        share("first", seen);
        TargetState other = target("t1");
        now -= 50;
        respond(other, 200, new LoadReport(2, 0, SLOTS, 1));
        now += 50;
        receive("second", other);
        TargetObservation passedOn = other.drainObservation(now).orElseThrow();
        assertThat(passedOn.responses()).isEqualTo(1);
        assertThat(passedOn.load()).isEqualTo(Optional.empty());
        assertThat(seen.drainObservation(now)).isEqualTo(Optional.empty());
    }

    /** Guards against an older report of another instance that replaces a newer one of this instance. */
    @Test
    void theNewestReportCounts() {
        TargetState seen = target("t1");
        respond(seen, 200, new LoadReport(SLOTS, 12, SLOTS, 1));
        share("first", seen);
        now += 100;
        TargetState own = target("t1");
        respond(own, 200, new LoadReport(0, 0, SLOTS, 1));
        receive("second", own);
        assertThat(own.expectedResponseMillis(now)).isWithin(20).of(200);
    }
}
