package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;

/** Guards against an item or an observer whose fault keeps later changes from taking effect. */
final class FleetTrackerTest {

    private static final String CONFIGURATION = "configuration";

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final FaultyParser parser = new FaultyParser();
    private final FleetTracker tracker = new FleetTracker(parser, clock, new RouterEventLog("test", clock));

    /** Parses targets and the versions of configurations, and fails on values that begin with a name of a fault. */
    private static final class FaultyParser implements StoreItemParser {
        private int parsedConfigurations;
        private boolean outOfMemory;

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
            parsedConfigurations++;
            if (outOfMemory) {
                throw new OutOfMemoryError("a fault of the test");
            }
            long version = Long.parseLong(new String(value, StandardCharsets.US_ASCII));
            return Either.right(
                    new RoutingConfiguration(version, List.of(), List.of(), List.of(), CallerLimits.DEFAULT));
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            switch (new String(value, StandardCharsets.US_ASCII)) {
                case "exception" -> throw new IllegalStateException("a fault of the parser");
                case "overflow" -> throw new StackOverflowError();
                default -> {
                    return Either.right(new TargetRegistration(id, 1, 1, "pool", "127.0.0.1", 1, "dc-1", 2, false, 0));
                }
            }
        }
    }

    private void put(String key, String value, long revision) {
        tracker.itemChanged(new StoreItem(key, value.getBytes(StandardCharsets.US_ASCII), revision, 0));
    }

    @Test
    void anItemOnWhichTheParserFailsNamesNoTargetAndTheOthersHold() {
        put("a", "sound", 1);
        put("b", "exception", 2);
        put("c", "overflow", 3);
        put("d", "sound", 4);
        tracker.changesApplied();
        assertThat(tracker.view().targets().keySet()).containsExactly("a", "d");
        put("a", "overflow", 5);
        tracker.changesApplied();
        assertThat(tracker.view().targets().keySet()).containsExactly("d");
    }

    @Test
    void anObserverThatFailsDoesNotKeepTheOthersFromBeingCalled() {
        List<String> called = new ArrayList<>();
        tracker.addObserver(() -> {
            throw new IllegalStateException("a fault of the observer");
        });
        tracker.addObserver(() -> called.add("second"));
        tracker.changesApplied();
        assertThat(called).containsExactly("second");
    }

    /** Guards against a configuration that is never applied because memory was short at the moment of its arrival. */
    @Test
    void aConfigurationWhoseParserRanOutOfMemoryIsParsedAgainAndHoldsUpNothingElse() {
        parser.outOfMemory = true;
        put(CONFIGURATION, "7", 1);
        put("a", "sound", 2);
        tracker.changesApplied();
        assertThat(tracker.view().targets().keySet()).containsExactly("a");
        assertThat(tracker.view().configuration()).isEqualTo(Optional.empty());
        parser.outOfMemory = false;
        clock.advance(1_000);
        tracker.retryPendingConfiguration();
        assertThat(tracker.view().configuration().map(RoutingConfiguration::version))
                .isEqualTo(Optional.of(7L));
    }

    /** Guards against a control loop that parses large configurations which have been replaced meanwhile. */
    @Test
    void onlyTheLastOfTheConfigurationsThatArriveTogetherIsParsed() {
        for (int version = 1; version <= 10; version++) {
            put(CONFIGURATION, Integer.toString(version), version);
        }
        tracker.changesApplied();
        assertThat(parser.parsedConfigurations).isEqualTo(1);
        assertThat(tracker.view().configuration().map(RoutingConfiguration::version))
                .isEqualTo(Optional.of(10L));
    }
}
