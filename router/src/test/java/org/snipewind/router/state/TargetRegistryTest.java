package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;

/** Guards against requests to a target that is leaving, after an earlier write of its entry reached the store late. */
final class TargetRegistryTest {

    private static final String TARGET = "a";

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final FleetTracker tracker =
            new FleetTracker(new RegistrationParser(), clock, new RouterEventLog("test", clock));

    /** Parses values of the form "start sequence state"; others are unreadable. */
    private static final class RegistrationParser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            return Optional.of(Kind.TARGET);
        }

        @Override
        public String entityIdOf(String key) {
            return key;
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            return Either.left("not used");
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            String[] parts = new String(value, StandardCharsets.US_ASCII).split(" ");
            if (parts.length < 3) {
                return Either.left("fields are missing");
            }
            long start = Long.parseLong(parts[0]);
            long sequence = Long.parseLong(parts[1]);
            boolean draining = parts[2].equals("draining");
            return Either.right(
                    new TargetRegistration(id, start, sequence, "pool", "127.0.0.1", 1, "dc-1", 2, draining, 0));
        }
    }

    private void write(String value) {
        tracker.itemChanged(new StoreItem(TARGET, value.getBytes(StandardCharsets.US_ASCII), 1, 0));
        tracker.changesApplied();
    }

    private void remove() {
        tracker.itemRemoved(TARGET);
        tracker.changesApplied();
    }

    private Optional<TargetState> inService(String incarnation) {
        return tracker.view().findInService(incarnation);
    }

    @Test
    void anEarlierWriteAfterAnUnreadableEntryDoesNotBringALeavingTargetBack() {
        write("1 5 draining");
        write("of another writer");
        write("1 4 ready");
        assertThat(inService("a@1")).isEmpty();
    }

    @Test
    void anEarlierWriteAfterTheEntryWasRemovedDoesNotBringALeavingTargetBack() {
        write("1 5 draining");
        remove();
        write("1 4 ready");
        assertThat(inService("a@1")).isEmpty();
    }

    @Test
    void aTargetThatRegistersAgainKeepsWhatIsKnownOfIt() {
        write("1 5 ready");
        TargetState state = inService("a@1").orElseThrow();
        write("of another writer");
        assertThat(inService("a@1")).isEmpty();
        write("1 5 ready");
        assertThat(inService("a@1").orElseThrow()).isSameInstanceAs(state);
        remove();
        write("1 6 ready");
        assertThat(inService("a@1").orElseThrow()).isSameInstanceAs(state);
    }

    @Test
    void aRestartedTargetStartsAfreshWhateverItsClockSays() {
        write("7 5 draining");
        remove();
        write("6 1 ready");
        assertThat(inService("a@6")).isPresent();
    }

    @Test
    void aTargetWithoutAStartTimeMayRegisterAgainWithALowerNumber() {
        write("0 5 draining");
        remove();
        write("0 1 ready");
        assertThat(inService("a@0")).isPresent();
    }
}
