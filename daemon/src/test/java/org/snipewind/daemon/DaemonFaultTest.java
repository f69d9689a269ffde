package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.store.RecordCodec;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.daemon.record.RecordNames;

/** Tests the fleet under faults of daemons and of the network between them. */
class DaemonFaultTest {

    private final SimulatedFleet fleet = SimulatedFleet.running(5, 4);

    /** Guards against a holder that, after a pause, still acts under a lease that expired during the pause. */
    @Test
    void holderPausedPastItsLeaseForwardsNothingAndRenewsNothingWhenItResumes() {
        SimulatedDaemon holder = fleet.supervisorOf("target-1");
        SimulatedTarget target = fleet.targets.get("target-1");
        int slice = fleet.sliceOf("target-1");
        holder.pause();
        fleet.run(1_000);
        int requestCount = target.grantRequests.size();
        long token = fleet.fleet().roles().get(RoleNames.target("target-1")).token();

        // The threads of a resumed process may run before it reads any message.
        assertThat(holder.rights.activeToken(RoleNames.target("target-1"))).isEqualTo(Optional.empty());
        holder.supervisors.run();
        var refused = holder.submit(fleet.request("target-1", slice, 30_000));
        assertThat(target.grantRequests.stream()
                        .skip(requestCount)
                        .filter(grantRequest -> grantRequest.token() == token)
                        .toList())
                .isEmpty();
        assertThat(target.executions).isEmpty();

        fleet.run(3_000);
        holder.resume();
        fleet.run(3_000);

        assertThat(holder.isRemoved).isTrue();
        assertThat(refused.join().getLeft().kind()).isAnyOf(ErrorKind.NOT_SUPERVISOR, ErrorKind.LEASE_EXPIRED);
        assertThat(target.executions).isEmpty();
        assertThat(fleet.heldSliceCount()).isEqualTo(SliceTable.SLICE_COUNT);
    }

    /** Guards against a table that a paused coordinator writes after its role was assigned to another daemon. */
    @Test
    void coordinatorPausedPastItsLeaseWritesNoTableWhenItResumes() {
        SimulatedDaemon coordinator = fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL));
        coordinator.pause();
        fleet.targets.get("target-1").isDead = true;
        fleet.await(
                "another coordinator moves the slices",
                6_000,
                () -> fleet.table().servableBy("target-1").isEmpty());
        long version = fleet.table().version();

        coordinator.resume();
        fleet.run(5_000);

        assertThat(fleet.table().writer()).doesNotContain(coordinator.id());
        assertThat(coordinator.isRemoved).isTrue();
        assertThat(fleet.table().version()).isAtLeast(version);
    }

    /** Guards against a table write of a stopped coordinator that takes effect after its successor has planned. */
    @Test
    void lateTableWriteOfAPredecessorFailsAfterTheFencingWrite() {
        SimulatedDaemon coordinator = fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL));
        fleet.store.heldKeys.add(RecordNames.table(SimulatedFleet.POOL));
        fleet.targets.get("target-1").isDead = true;
        fleet.await("the write is in transit", 3_000, () -> fleet.store.heldWriteCount() > 0);
        coordinator.isDead = true;
        fleet.store.heldKeys.clear();
        long before = fleet.table().version();
        fleet.await("the successor writes", 5_000, () -> fleet.table().version() > before);

        fleet.store.releaseHeldWrites();

        assertThat(fleet.store.releasedWritesApplied).contains(false);
        assertThat(fleet.store.releasedWritesApplied).doesNotContain(true);
        fleet.await("all slices are held", 5_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
    }

    /** Guards against a supervisor that, from an old table, grants slices that have moved to another target. */
    @Test
    void newSupervisorWithAnOldTableGrantsNothingBeforeTheCoordinatorsConfirmation() {
        SimulatedTarget target = fleet.targets.get("target-1");
        long token = fleet.fleet().roles().get(RoleNames.target("target-1")).token();
        fleet.store.heldKeys.add(RecordNames.table(SimulatedFleet.POOL));
        fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL)).isDead = true;
        fleet.supervisorOf("target-1").isDead = true;
        fleet.await(
                "the new supervisor has sent grant requests",
                3_000,
                () -> target.grantRequests.stream().anyMatch(grantRequest -> grantRequest.token() > token));
        fleet.run(3_000);

        assertThat(target.grantRequests.stream()
                        .filter(grantRequest ->
                                grantRequest.token() > token && grantRequest.validUntilTargetMillis() != 0)
                        .toList())
                .isEmpty();
        fleet.store.heldKeys.clear();
        fleet.await("all slices are held", 6_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
        fleet.store.releaseHeldWrites();
        assertThat(fleet.store.releasedWritesApplied).doesNotContain(true);
    }

    /** Guards against a member that others have removed while it still considers its own lease valid. */
    @Test
    void memberWhoseHeartbeatsAreNotAcknowledgedLosesItsLeaseAndItsRoles() {
        SimulatedDaemon lost = fleet.supervisorOf("target-1");
        int slice = fleet.sliceOf("target-1");

        for (String id : List.copyOf(fleet.daemons.keySet())) {
            fleet.cut(id, lost.id());
        }

        fleet.await("the lease ends", 1_100, () -> !lost.lease.isValid());
        fleet.run(1_000);
        assertThat(lost.rights.isActiveMember()).isFalse();
        assertThat(lost.rights.activeToken(RoleNames.target("target-1"))).isEqualTo(Optional.empty());
        fleet.restoreLinks();
        fleet.await("the slice is served", 5_000, () -> fleet.isServed(slice));
    }

    /** Guards against a member that is removed, as only its outgoing messages are lost, but still acts in its roles. */
    @Test
    void memberWhoseHeartbeatsAreLostIsRemovedAndStopsBefore() {
        SimulatedDaemon lost = fleet.supervisorOf("target-1");
        for (String id : List.copyOf(fleet.daemons.keySet())) {
            fleet.cut(lost.id(), id);
        }

        fleet.await(
                "the member is removed",
                3_000,
                () -> fleet.fleet().member(lost.id()).isEmpty());

        assertThat(lost.lease.isValid()).isFalse();
        fleet.await("all slices are held", 5_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
    }

    /** Guards against state that is needed to serve but exists only in the replaced daemons. */
    @Test
    void fleetOfOnlyNewDaemonsServesAllSlices() {
        List<SimulatedDaemon> old = List.copyOf(fleet.daemons.values());
        for (int number = 0; number < old.size(); number++) {
            fleet.start("daemon" + number + "-b", SimulatedFleet.dataCentre(number));
            fleet.run(3_000);
            old.get(number).isDead = true;
            fleet.run(3_000);
        }

        fleet.await("all slices are held", 5_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
        assertThat(fleet.fleet().members().keySet())
                .containsNoneIn(old.stream().map(SimulatedDaemon::id).toList());
    }

    /** Guards against a live member that is removed because of a wrong removal mark, or acts while it is marked. */
    @Test
    void markedMemberStopsAndResumesOnceItsMarkIsGone() {
        SimulatedDaemon marked = fleet.supervisorOf("target-1");
        fleet.store.refusedCallers.add(marked.id());

        fleet.store.put(
                RecordNames.FLEET,
                RecordCodec.encode(FleetTransitions.markForRemoval(fleet.fleet(), marked.id(), "test/1")
                        .orElseThrow()));
        fleet.await("the member stops", 3_000, () -> !marked.rights.isActiveMember());
        fleet.run(2_000);
        assertThat(marked.rights.activeToken(RoleNames.target("target-1"))).isEqualTo(Optional.empty());
        fleet.store.refusedCallers.clear();

        fleet.await("the mark is gone", 3_000, () -> fleet.fleet().marks().isEmpty());
        fleet.await("the member resumes", 3_000, marked.rights::isActiveMember);
        assertThat(fleet.fleet().member(marked.id())).isNotEqualTo(Optional.empty());
    }

    /** Guards against a witness that counts the time in which it was not a witness as time without heartbeats. */
    @Test
    void witnessThatReturnsToALeaseGroupAcknowledgesItsHolderAgain() {
        SimulatedFleet four = SimulatedFleet.running(4, 3);
        four.daemons.get("daemon3-a").isDead = true;
        four.await(
                "the groups shrink",
                5_000,
                () -> four.fleet().members().values().stream()
                        .allMatch(member -> member.leaseGroup().size() == 1));
        four.run(3_000);
        four.start("daemon3-b", SimulatedFleet.dataCentre(3));
        four.await(
                "the groups grow",
                5_000,
                () -> four.fleet().members().values().stream()
                        .allMatch(member -> member.leaseGroup().size() == 3));
        four.run(2_000);

        four.fleet()
                .members()
                .values()
                .forEach(member -> member.leaseGroup()
                        .forEach(witness -> assertThat(
                                        four.daemons.get(witness).witness.acknowledge(member.id()))
                                .isTrue()));
    }

    /** Guards against a member without witnesses, whose lease never expires, that acts after its removal by a mark. */
    @Test
    void memberWithoutWitnessesThatWasRemovedDuringAPauseActsInNoRoleWhenItResumes() {
        SimulatedFleet small = new SimulatedFleet(true, 1, 2);
        small.await("all slices are held", 10_000, () -> small.heldSliceCount() == SliceTable.SLICE_COUNT);
        SimulatedDaemon first = small.daemons.get("daemon0-a");
        small.start("daemon1-a", "dc-1");
        small.await(
                "the second daemon joins", 5_000, () -> small.fleet().members().size() == 2);
        assertThat(small.fleet().members().get(first.id()).leaseGroup()).isEmpty();
        first.pause();
        small.start("daemon0-b", "dc-0");
        small.await(
                "the first daemon is removed",
                120_000,
                () -> small.fleet().member(first.id()).isEmpty());

        // The threads of a resumed process may run before it reads any message.
        for (String role : first.records.fleet().roles().keySet()) {
            assertThat(first.rights.activeToken(role)).isEqualTo(Optional.empty());
        }
        assertThat(first.rights.isActiveMember()).isFalse();
        first.resume();
        small.await("all slices are held", 10_000, () -> small.heldSliceCount() == SliceTable.SLICE_COUNT);
    }
}
