package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.protocol.ForwardRequest;

/** Tests the fleet under faults of targets, and the requests that wait for them. */
class TargetFaultTest {

    private final SimulatedFleet fleet = SimulatedFleet.running(5, 4);

    /** Guards against slices that stay assigned to a failed target. */
    @Test
    void slicesOfALostTargetAreServedByOthersWithinTwoSeconds() {
        int slice = fleet.sliceOf("target-1");

        fleet.targets.get("target-1").isDead = true;

        assertThat(fleet.await("the slice is served again", 2_000, () -> fleet.isServed(slice)))
                .isLessThan(2_000);
    }

    /** Guards against a target that, after a freeze, serves slices that have moved to other targets. */
    @Test
    void frozenTargetThatResumesRejectsTheSlicesThatWentToOthers() {
        SimulatedTarget target = fleet.targets.get("target-1");
        int slice = fleet.sliceOf("target-1");
        SimulatedDaemon supervisor = fleet.supervisorOf("target-1");
        target.freeze();
        CompletableFuture<Either<Refusal, TargetResponse>> response =
                supervisor.submit(fleet.request("target-1", slice, 30_000));
        fleet.await("the slice is served again", 3_000, () -> fleet.isServed(slice));

        target.thaw();

        assertThat(target.heldSlices()).isEmpty();
        assertThat(target.executions.stream()
                        .filter(execution -> execution.slice().getAsInt() == slice)
                        .count())
                .isEqualTo(0);
        assertThat(response.join().getLeft().kind()).isEqualTo(ErrorKind.FENCED);
        fleet.await(
                "the target may be used again",
                3_000,
                () -> supervisor.supervisors.load("target-1").orElseThrow().available());
    }

    /** Guards against a supervisor that assumes that a restarted target still holds its grant. */
    @Test
    void restartedTargetThatForgotItsGrantsServesAgainUnderANewOne() {
        SimulatedTarget target = fleet.targets.get("target-2");
        int slice = fleet.sliceOf("target-2");

        target.restart();

        assertThat(fleet.isServed(slice)).isFalse();
        assertThat(target.executions).isEmpty();
        fleet.await("the slice is served again", 2_000, () -> fleet.isServed(slice));
        assertThat(target.heldSlices()).contains(slice);
    }

    /** Guards against a target that counts as live because it accepts connections, although it ignores grants. */
    @Test
    void targetThatIgnoresGrantsLosesItsSlicesAlthoughItAcceptsConnections() {
        int slice = fleet.sliceOf("target-0");

        fleet.targets.get("target-0").ignoresGrants = true;

        fleet.await(
                "the slice is served elsewhere",
                2_500,
                () -> !fleet.table().slices().get(slice).owner().equals(Optional.of("target-0"))
                        && fleet.isServed(slice));
    }

    /** Guards against a second lost target that is handled only after the recovery from the first. */
    @Test
    void slicesOfTwoTargetsLostAtOnceAreServedAgain() {
        int first = fleet.sliceOf("target-0");
        int second = fleet.sliceOf("target-3");

        fleet.targets.get("target-0").isDead = true;
        fleet.targets.get("target-3").isDead = true;

        fleet.await("both slices are served again", 3_000, () -> fleet.isServed(first) && fleet.isServed(second));
    }

    /** Guards against a lost target that is never reported because its supervisor failed with it. */
    @Test
    void slicesOfATargetLostTogetherWithItsSupervisorAreServedAgain() {
        int slice = fleet.sliceOf("target-1");

        fleet.targets.get("target-1").isDead = true;
        fleet.supervisorOf("target-1").isDead = true;

        fleet.await("the slice is served again", 5_000, () -> fleet.isServed(slice));
    }

    /** Guards against a lost target that is never handled because the pool coordinator failed with it. */
    @Test
    void slicesOfATargetLostTogetherWithThePoolCoordinatorAreServedAgain() {
        int slice = fleet.sliceOf("target-1");

        fleet.targets.get("target-1").isDead = true;
        fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL)).isDead = true;

        fleet.await("the slice is served again", 5_000, () -> fleet.isServed(slice));
    }

    /** Guards against a queued non-idempotent request that is executed although its key was withdrawn. */
    @Test
    void queuedRequestOfAWithdrawnKeyIsRefusedAsNotRun() {
        SimulatedTarget target = fleet.targets.get("target-0");
        SimulatedDaemon supervisor = fleet.supervisorOf("target-0");
        int slice = fleet.sliceOf("target-0");
        target.holdsResponses = true;
        supervisor.submit(fleet.request("target-0", slice, 30_000));
        supervisor.submit(fleet.request("target-0", slice, 30_000));
        CompletableFuture<Either<Refusal, TargetResponse>> queued =
                supervisor.submit(fleet.request("target-0", slice, 30_000));
        int running = target.executions.size();

        fleet.configure(Map.of());
        fleet.await("the request is refused", 3_000, queued::isDone);

        assertThat(queued.join().getLeft().kind()).isEqualTo(ErrorKind.KEY_REJECTED);
        target.releaseResponses();
        fleet.run(1_000);
        assertThat(target.executions).hasSize(running);
    }

    /** Guards against a request that is executed twice because its message arrived twice. */
    @Test
    void forwardFrameThatArrivesTwiceRunsOnce() {
        SimulatedDaemon supervisor = fleet.supervisorOf("target-0");
        ForwardRequest request = fleet.request("target-0", fleet.sliceOf("target-0"), 30_000);

        assertThat(supervisor.submit(request).join().isRight()).isTrue();

        assertThat(supervisor.submit(request).join().getLeft().kind()).isEqualTo(ErrorKind.DUPLICATE_REQUEST);
        assertThat(fleet.targets.get("target-0").executions).hasSize(1);
    }

    /** Guards against slices that stay without an owner after a fault during a recovery. */
    @Test
    void coordinatorLostInTheMiddleOfARecoveryIsReplacedByOneThatFinishesIt() {
        fleet.targets.get("target-2").isDead = true;
        fleet.await(
                "the loss is detected",
                3_000,
                () -> fleet.table().servableBy("target-2").isEmpty());

        fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL)).isDead = true;

        fleet.await("all slices are held", 5_000, () -> fleet.heldSliceCount() == SliceTable.SLICE_COUNT);
    }
}
