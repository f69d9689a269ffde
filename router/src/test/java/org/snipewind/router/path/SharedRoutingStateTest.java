package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;

/** Guards against rate limits of targets in cold start that keep the rate or the fleet of their first request. */
final class SharedRoutingStateTest {

    private static final String CONFIGURATION = "configuration";
    private static final String TARGET = "target";
    private static final double INITIAL_RATE = 50;

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final FleetTracker tracker =
            new FleetTracker(new ColdPoolParser(), clock, new RouterEventLog("test", clock));
    private final SharedRoutingState state =
            new SharedRoutingState(tracker, clock, new RouterLimits(1, 10_000, 10, 1, 2), "entry-0");
    private long revision;

    /** Parses a configuration, which is the cold-start rate of the one pool, and a target that stays cold. */
    private static final class ColdPoolParser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            return Optional.of(key.equals(CONFIGURATION) ? Kind.CONFIGURATION : Kind.TARGET);
        }

        @Override
        public String entityIdOf(String key) {
            return key;
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            double rate = Double.parseDouble(new String(value, StandardCharsets.US_ASCII));
            return Either.right(new RoutingConfiguration(
                    1, List.of(), List.of(new Pool("pool", false, 10, rate, "/")), List.of(), CallerLimits.DEFAULT));
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            return Either.right(new TargetRegistration(id, 1, 1, "pool", "127.0.0.1", 1, "dc-1", 2, false, 60_000));
        }
    }

    SharedRoutingStateTest() {
        tracker.addObserver(state::onViewChanged);
        put(TARGET, new byte[0]);
        configureRate(INITIAL_RATE);
        addMember("entry-0");
    }

    private void put(String key, byte[] value) {
        tracker.itemChanged(new StoreItem(key, value, ++revision, 0));
        tracker.changesApplied();
    }

    private void configureRate(double ratePerSecond) {
        put(CONFIGURATION, Double.toString(ratePerSecond).getBytes(StandardCharsets.US_ASCII));
    }

    private void addMember(String name) {
        MemberRecord member = new MemberRecord(name, "boot", "127.0.0.1:1", "dc-1", 1);
        put(StoreKeys.MEMBER_PREFIX + name, RecordCodec.encode(member));
    }

    /** Returns how many requests this instance may send to the target within one second. */
    private int requestsInOneSecond() {
        Pool pool = tracker.view()
                .configuration()
                .flatMap(each -> each.pool("pool"))
                .orElseThrow();
        int admitted = 0;
        for (int millis = 0; millis < 1_000; millis += 10) {
            clock.advance(10);
            admitted += state.coldStartLimiter(pool, tracker.view().targets().get(TARGET))
                            .tryAcquire()
                    ? 1
                    : 0;
        }
        return admitted;
    }

    @Test
    void aChangedColdStartRateAppliesToTargetsThatAreInColdStart() {
        assertThat(requestsInOneSecond()).isAtLeast((int) INITIAL_RATE);
        configureRate(5);
        assertThat(requestsInOneSecond()).isAtMost(5 + 1);
        configureRate(INITIAL_RATE);
        assertThat(requestsInOneSecond()).isAtLeast((int) INITIAL_RATE - 1);
    }

    @Test
    void instancesThatJoinDuringAColdStartTakeTheirPartOfItsRate() {
        assertThat(requestsInOneSecond()).isAtLeast((int) INITIAL_RATE);
        int admitted = 0;
        for (int member = 1; member < 10; member++) {
            addMember("entry-" + member);
        }
        // Only one instance may send at these limits, and the rendezvous hash chooses another one than this.
        admitted += requestsInOneSecond();
        assertThat(admitted).isEqualTo(0);
    }
}
