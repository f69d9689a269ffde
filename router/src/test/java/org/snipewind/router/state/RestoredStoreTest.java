package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;

/** Guards against an instance that takes what a restored store has lost, or has from the copy, for the latest. */
final class RestoredStoreTest {

    private static final String EVACUATION = "evacuate/dc-1";
    private static final String CONFIGURATION = "configuration";
    private static final String TARGET = "target/a";
    private static final String TABLE = StoreKeys.KEY_TABLE_PREFIX + "pool";

    /** Longer than the time that targets have to register again. */
    private static final long GRACE_MILLIS = 2_600;

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final FleetTracker tracker = new FleetTracker(new Parser(), clock, log);
    private final CachedItems items = new CachedItems(tracker);

    /** Parses registrations "start sequence state" and versions of configurations. */
    private static final class Parser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            return Optional.of(
                    key.equals(CONFIGURATION)
                            ? Kind.CONFIGURATION
                            : key.startsWith("evacuate/") ? Kind.EVACUATION : Kind.TARGET);
        }

        @Override
        public String entityIdOf(String key) {
            return key.substring(key.indexOf('/') + 1);
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            long version = Long.parseLong(new String(value, StandardCharsets.US_ASCII));
            return Either.right(
                    new RoutingConfiguration(version, List.of(), List.of(), List.of(), CallerLimits.DEFAULT));
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            String[] parts = new String(value, StandardCharsets.US_ASCII).split(" ");
            return Either.right(new TargetRegistration(
                    id,
                    Long.parseLong(parts[0]),
                    Long.parseLong(parts[1]),
                    "pool",
                    "127.0.0.1",
                    1,
                    "dc-1",
                    2,
                    parts[2].equals("draining"),
                    0));
        }
    }

    private static StoreItem item(long era, long revision, String key, String value) {
        return new StoreItem(key, value.getBytes(StandardCharsets.US_ASCII), StorePosition.of(era, revision), 0);
    }

    private static StoreItem table(long position, long writtenEra, String holder, long epoch) {
        KeyTable table = new KeyTable(List.of(new KeyAssignment(0, KeyTable.LAST_KEY, holder, epoch, List.of())));
        return new StoreItem(TABLE, RecordCodec.encode(table, writtenEra), position, 0);
    }

    private void read(long era, long revision, StoreItem... all) {
        items.replaceAll(List.of(all), StorePosition.of(era, revision));
    }

    private void change(StoreItem changed, boolean removed) {
        items.applyChanges(new StoreChanges(List.of(new StoreChanges.Change(changed, removed)), changed.revision()));
    }

    private boolean isInService() {
        return tracker.view().inService().containsKey("pool");
    }

    private Optional<String> holder() {
        return Optional.ofNullable(tracker.view().keyTables().get("pool"))
                .flatMap(table -> table.find(0))
                .map(KeyAssignment::holder);
    }

    @Test
    void aLostEvacuationStaysInForceUntilTheOperatorHasWrittenItAgainAndEndsIt() {
        read(0, 10, item(0, 5, TARGET, "1 1 ready"), item(0, 9, EVACUATION, ""));
        assertThat(isInService()).isFalse();
        read(1, 7, item(1, 5, TARGET, "1 1 ready"));
        assertThat(isInService()).isFalse();
        change(item(1, 8, EVACUATION, ""), false);
        assertThat(isInService()).isFalse();
        change(item(1, 9, EVACUATION, ""), true);
        assertThat(isInService()).isTrue();
    }

    @Test
    void anEvacuationThatTheOperatorEndsWithoutARestorationIsOverAtOnce() {
        read(0, 10, item(0, 5, TARGET, "1 1 ready"), item(0, 9, EVACUATION, ""));
        read(0, 12, item(0, 5, TARGET, "1 1 ready"));
        assertThat(isInService()).isTrue();
    }

    @Test
    void aRemovedTargetDoesNotReturnByTheRegistrationThatWasRemoved() {
        read(0, 10, item(0, 5, TARGET, "1 4 ready"));
        change(item(0, 11, TARGET, ""), true);
        read(1, 7, item(1, 5, TARGET, "1 4 ready"));
        assertThat(tracker.view().targets()).isEmpty();
        change(item(1, 8, TARGET, "1 5 ready"), false);
        assertThat(isInService()).isTrue();
    }

    @Test
    void aRemovedProcessDoesNotReturnByTheRegistrationOfAnEarlierOne() {
        read(0, 10, item(0, 5, TARGET, "2 1 ready"));
        change(item(0, 11, TARGET, ""), true);
        read(1, 4, item(1, 3, TARGET, "1 4 ready"));
        assertThat(tracker.view().targets()).isEmpty();
    }

    /** Guards against a change of the rule within an era, in which an entry may be removed and written again. */
    @Test
    void aRemovedTargetReturnsByTheSameRegistrationWithinAnEra() {
        read(0, 10, item(0, 5, TARGET, "1 4 ready"));
        change(item(0, 11, TARGET, ""), true);
        change(item(0, 12, TARGET, "1 4 ready"), false);
        assertThat(isInService()).isTrue();
    }

    @Test
    void aDrainingTargetDoesNotReturnToServiceByAnEarlierRegistration() {
        read(0, 10, item(0, 9, TARGET, "1 5 draining"));
        read(1, 7, item(1, 5, TARGET, "1 4 ready"));
        assertThat(tracker.view().targets()).hasSize(1);
        assertThat(isInService()).isFalse();
    }

    @Test
    void aTargetWhoseRegistrationIsLostHasTimeToWriteItAgain() {
        read(0, 10, item(0, 9, TARGET, "1 4 ready"));
        read(1, 7);
        assertThat(isInService()).isTrue();
        clock.advance(GRACE_MILLIS);
        tracker.removeExpiredTargets();
        assertThat(tracker.view().targets()).isEmpty();
        change(item(1, 8, TARGET, "1 4 ready"), false);
        assertThat(isInService()).isTrue();
    }

    @Test
    void aDrainThatIsLostStaysInForceUntilTheTargetHasWrittenAgain() {
        read(0, 10, item(0, 9, TARGET, "1 5 draining"));
        read(1, 7);
        assertThat(tracker.view().targets()).hasSize(1);
        assertThat(isInService()).isFalse();
    }

    @Test
    void theConfigurationNeverGoesBackToAnOlderVersion() {
        read(0, 10, item(0, 9, CONFIGURATION, "7"));
        read(1, 8, item(1, 5, CONFIGURATION, "6"));
        assertThat(tracker.view().configuration().orElseThrow().version()).isEqualTo(7);
        read(2, 8);
        assertThat(tracker.view().configuration().orElseThrow().version()).isEqualTo(7);
        change(item(2, 9, CONFIGURATION, "8"), false);
        assertThat(tracker.view().configuration().orElseThrow().version()).isEqualTo(8);
    }

    @Test
    void aLostKeyTableStaysInUseUntilALeaderHasWrittenOneInTheNewEra() {
        read(0, 10, table(StorePosition.of(0, 9), 0, "latest@1", 9));
        read(1, 7, table(StorePosition.of(1, 5), 0, "earlier@1", 5));
        assertThat(holder()).hasValue("latest@1");
        read(2, 2);
        assertThat(holder()).hasValue("latest@1");
        // The leader that leads on has not seen the latest table, but acts by this one.
        change(table(StorePosition.of(2, 3), 2, "earlier@1", 5), false);
        assertThat(holder()).hasValue("earlier@1");
    }

    @Test
    void aLaterTableOfTheCopyIsTaken() {
        read(0, 10, table(StorePosition.of(0, 9), 0, "known@1", 9));
        read(1, 20, table(StorePosition.of(1, 15), 0, "later@1", 15));
        assertThat(holder()).hasValue("later@1");
    }

    @Test
    void aPatchTellsInWhichEraTheTableWasWritten() {
        KeyTable base = new KeyTable(new ArrayList<>());
        for (int range = 0; range < 64; range++) {
            base = base.withAssignment(
                    new KeyAssignment(range * 1_024, range * 1_024 + 1_023, "t" + range, 3, List.of()));
        }
        KeyTable changed = base.withAssignment(new KeyAssignment(0, 1_023, "t9", 4, List.of()));
        byte[] whole = RecordCodec.encode(changed, 2);
        byte[] patch = KeyTablePatch.diff(RecordCodec.encode(base, 1), whole).orElseThrow();
        assertThat(KeyTablePatch.apply(RecordCodec.encode(base, 1), patch).orElseThrow())
                .isEqualTo(whole);
        assertThat(RecordCodec.decodeWrittenTable(whole)).hasValue(new WrittenKeyTable(changed, 2));
    }

    @Test
    void aTableOfEraZeroIsEncodedAsBefore() {
        KeyTable table = new KeyTable(List.of(new KeyAssignment(0, 9, "a@1", 3, List.of("b@1"))));
        assertThat(RecordCodec.encode(table, 0)).isEqualTo(RecordCodec.encode(table));
        assertThat(RecordCodec.decodeWrittenTable(RecordCodec.encode(table))).hasValue(new WrittenKeyTable(table, 0));
    }

    @Test
    void whatArrivesLateFromAnEarlierEraChangesNothing() {
        read(0, 10, item(0, 9, TARGET, "1 4 ready"));
        read(1, 7, item(1, 5, CONFIGURATION, "6"));
        List<StoreItem> before = items.snapshot();
        items.applyWrite(item(0, 30, "target/lost", "1 1 ready"));
        change(item(0, 31, CONFIGURATION, "5"), true);
        change(item(0, 32, CONFIGURATION, "9"), false);
        items.replaceAll(List.of(item(0, 33, "target/b", "1 1 ready")), StorePosition.of(0, 33));
        assertThat(items.snapshot()).containsExactlyElementsIn(before);
        assertThat(items.revision()).isEqualTo(StorePosition.of(1, 7));
    }

    /** Guards against a change of era that is not reported, or reported again by each response. */
    @Test
    void eachChangeOfEraIsReportedOnce() {
        AtomicInteger changes = new AtomicInteger();
        StoreEras eras = new StoreEras(clock, log);
        eras.setChangeListener(changes::incrementAndGet);
        assertThat(eras.earlierRightsEndMillis(100)).isEqualTo(Long.MIN_VALUE);
        eras.recordFromStore(0);
        eras.recordFromPeer(0);
        assertThat(changes.get()).isEqualTo(0);
        eras.recordFromPeer(1);
        clock.advance(40);
        eras.recordFromStore(1);
        eras.recordFromStore(1);
        assertThat(changes.get()).isEqualTo(1);
        assertThat(eras.earlierRightsEndMillis(100)).isEqualTo(1_140);
        eras.recordFromStore(3);
        assertThat(changes.get()).isEqualTo(2);
        assertThat(Map.of("store", eras.era(), "known", eras.newestKnown()))
                .isEqualTo(Map.of("store", 3L, "known", 3L));
    }
}
