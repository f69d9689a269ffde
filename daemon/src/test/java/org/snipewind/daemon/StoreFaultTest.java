package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.daemon.record.RecordNames;

/** Tests the fleet under faults of the store and of the connections of single daemons to it. */
class StoreFaultTest {

    private final SimulatedFleet fleet = SimulatedFleet.running(5, 4);

    /** Guards against a write that takes effect twice, or is abandoned, because its response was lost. */
    @Test
    void writesWhoseResponsesAreLostTakeEffectOnce() {
        SimulatedDaemon lost = fleet.supervisorOf("target-1");
        fleet.store.losesSwapResponses = true;
        lost.isDead = true;
        fleet.targets.get("target-1").isDead = true;

        fleet.await("all slices are held", 10_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);

        assertThat(fleet.store.lostResponses).isAtLeast(2);
        assertThat(fleet.fleet().member(lost.id())).isEqualTo(Optional.empty());
    }

    /** Guards against a store outage during which grants expire or roles move. */
    @Test
    void longOutageOfTheStoreEndsNoGrantAndMovesNoRole() {
        fleet.store.isDown = true;
        FleetRecord before = fleet.fleet();
        long version = fleet.table().version();

        for (int second = 0; second < 60; second++) {
            fleet.run(1_000);
            assertThat(fleet.heldSliceCount()).isEqualTo(SliceTable.SLICE_COUNT);
        }

        assertThat(fleet.fleet()).isEqualTo(before);
        assertThat(fleet.table().version()).isEqualTo(version);
        fleet.daemons
                .values()
                .forEach(daemon -> assertThat(daemon.readiness.refusal()).isEqualTo(Optional.empty()));
        for (String target : fleet.targets.keySet()) {
            assertThat(fleet.isServed(fleet.sliceOf(target))).isTrue();
        }
    }

    /** Guards against slices or roles that move before the store has confirmed the change. */
    @Test
    void nothingIsTakenOverWhileTheStoreIsDownAndAllIsAfterwards() {
        fleet.store.isDown = true;
        int slice = fleet.sliceOf("target-1");
        fleet.targets.get("target-1").isDead = true;
        fleet.supervisorOf("target-2").isDead = true;

        fleet.run(20_000);
        assertThat(fleet.isServed(slice)).isFalse();
        fleet.store.isDown = false;

        fleet.await("all slices are held", 10_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
    }

    /** Guards against a daemon that stops because only its own connection to the store has failed. */
    @Test
    void daemonThatAloneCannotReachTheStoreContinuesAndReadsRecordsFromItsPeers() {
        SimulatedDaemon alone = fleet.supervisorOf("target-1");
        fleet.store.refusedCallers.add(alone.id());

        fleet.run(30_000);
        fleet.configure(Map.of());
        fleet.await(
                "it receives the configuration", 3_000, () -> alone.records.version(RecordNames.CONFIGURATION) == 2);

        assertThat(alone.readiness.refusal()).isEqualTo(Optional.empty());
        assertThat(alone.contact.ageMillis()).isLessThan(10_000);
        assertThat(alone.rights.isActiveMember()).isTrue();
    }

    /** Guards against a daemon that serves callers from a configuration that may have been withdrawn. */
    @Test
    void isolatedDaemonRefusesKeyedRequestsAsStale() {
        SimulatedDaemon alone = fleet.supervisorOf("target-1");
        fleet.store.refusedCallers.add(alone.id());
        fleet.isolate(alone.id());

        fleet.run(10_500);

        assertThat(alone.readiness.refusal().map(Refusal::kind)).isEqualTo(Optional.of(ErrorKind.CONFIGURATION_STALE));
        assertThat(alone.rights.isActiveMember()).isFalse();
    }

    /** Guards against messages buffered during a pause that count as recent when they are read. */
    @Test
    void pausedDaemonDoesNotTakeOldHeartbeatsForFreshContactWithTheStore() {
        SimulatedDaemon paused = fleet.daemons.get("daemon0-a");
        fleet.store.refusedCallers.add(paused.id());
        paused.pause();
        fleet.run(200);
        fleet.store.isDown = true;
        fleet.isolate(paused.id());
        fleet.run(60_000);

        paused.resume();

        assertThat(paused.contact.ageMillis()).isAtLeast(60_000);
        assertThat(paused.readiness.refusal().map(Refusal::kind)).isEqualTo(Optional.of(ErrorKind.CONFIGURATION_STALE));
    }

    /** Guards against a new daemon that serves before it has the configuration, the fleet record and the tables. */
    @Test
    void newDaemonReadsRecordsFromItsPeersWhileTheStoreIsDownAndServesNothingBefore() {
        fleet.store.isDown = true;
        SimulatedDaemon added = fleet.start("daemon9-a", "dc-0");

        assertThat(added.readiness.refusal().map(Refusal::kind)).isEqualTo(Optional.of(ErrorKind.NOT_READY));
        assertThat(added.readiness.isReady()).isFalse();
        fleet.await(
                "it has all records",
                10_000,
                () -> added.records
                        .versions()
                        .byName()
                        .keySet()
                        .containsAll(List.of(
                                RecordNames.CONFIGURATION, RecordNames.FLEET, RecordNames.table(SimulatedFleet.POOL))));
        assertThat(added.rights.isActiveMember()).isFalse();
        fleet.store.isDown = false;

        fleet.await("it serves", 10_000, () -> added.readiness.isReady() && added.rights.isActiveMember());
    }
}
