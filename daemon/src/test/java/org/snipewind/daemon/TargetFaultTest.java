package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.protocol.ForwardRequest;

/** Faults of targets and of what is waiting for them. */
class TargetFaultTest {

    private final SimulatedFleet fleet = SimulatedFleet.running(5, 4);

    /** Guards against slices that stay with a dead target. */
    @Test
    void slicesOfALostTargetAreServedByOthersWithinTwoSeconds() {
        int slice = fleet.sliceOf("target-1");

        fleet.targets.get("target-1").isDead = true;

        assertThat(fleet.await("the slice is served again", 2_000, () -> fleet.isServed(slice)))
                .isLessThan(2_000);
    }

    /** Guards against a frozen target that serves its old slices after others got them. */
    @Test
    void frozenTargetThatWakesRefusesTheSlicesThatWentToOthers() {
        SimulatedTarget target = fleet.targets.get("target-1");
        int slice = fleet.sliceOf("target-1");
        SimulatedDaemon supervisor = fleet.supervisorOf("target-1");
        target.freeze();
        CompletableFuture<Either<Refusal, TargetAnswer>> sent =
                supervisor.submit(fleet.request("target-1", slice, 30_000));
        fleet.await("the slice is served again", 3_000, () -> fleet.isServed(slice));

        target.thaw();

        assertThat(target.heldSlices()).isEmpty();
        assertThat(target.executions.stream()
                        .filter(run -> run.slice().getAsInt() == slice)
                        .count())
                .isEqualTo(0);
        assertThat(sent.join().getLeft().kind()).isEqualTo(ErrorKind.FENCED);
        fleet.await(
                "the target may be used again",
                3_000,
                () -> supervisor.supervisors.load("target-1").orElseThrow().available());
    }

    /** Guards against a restarted target that is taken for one that still has its grant. */
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

    /** Guards against trust in a connection or health endpoint that answers while the grants don't. */
    @Test
    void targetThatAnswersNoGrantLosesItsSlicesAlthoughItAcceptsConnections() {
        int slice = fleet.sliceOf("target-0");

        fleet.targets.get("target-0").answersNoGrant = true;

        fleet.await(
                "the slice is served elsewhere",
                2_500,
                () -> !fleet.table().slices().get(slice).owner().equals(Optional.of("target-0"))
                        && fleet.isServed(slice));
    }

    /** Guards against a second loss that waits for the recovery from the first. */
    @Test
    void slicesOfTwoTargetsLostAtOnceAreServedAgain() {
        int first = fleet.sliceOf("target-0");
        int second = fleet.sliceOf("target-3");

        fleet.targets.get("target-0").isDead = true;
        fleet.targets.get("target-3").isDead = true;

        fleet.await("both slices are served again", 3_000, () -> fleet.isServed(first) && fleet.isServed(second));
    }

    /** Guards against a target that nobody reports as lost because its supervisor went with it. */
    @Test
    void slicesOfATargetLostTogetherWithItsSupervisorAreServedAgain() {
        int slice = fleet.sliceOf("target-1");

        fleet.targets.get("target-1").isDead = true;
        fleet.supervisorOf("target-1").isDead = true;

        fleet.await("the slice is served again", 5_000, () -> fleet.isServed(slice));
    }

    /** Guards against a loss that is forgotten because the one who has to act on it is lost as well. */
    @Test
    void slicesOfATargetLostTogetherWithThePoolCoordinatorAreServedAgain() {
        int slice = fleet.sliceOf("target-1");

        fleet.targets.get("target-1").isDead = true;
        fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL)).isDead = true;

        fleet.await("the slice is served again", 5_000, () -> fleet.isServed(slice));
    }

    /** Guards against a non-idempotent request that a withdrawn key still runs from the queue. */
    @Test
    void queuedRequestOfAWithdrawnKeyIsRefusedAsNotRun() {
        SimulatedTarget target = fleet.targets.get("target-0");
        SimulatedDaemon supervisor = fleet.supervisorOf("target-0");
        int slice = fleet.sliceOf("target-0");
        target.holdsAnswers = true;
        supervisor.submit(fleet.request("target-0", slice, 30_000));
        supervisor.submit(fleet.request("target-0", slice, 30_000));
        CompletableFuture<Either<Refusal, TargetAnswer>> queued =
                supervisor.submit(fleet.request("target-0", slice, 30_000));
        int running = target.executions.size();

        fleet.configure(Map.of());
        fleet.await("the request is refused", 3_000, queued::isDone);

        assertThat(queued.join().getLeft().kind()).isEqualTo(ErrorKind.KEY_REJECTED);
        target.releaseAnswers();
        fleet.run(1_000);
        assertThat(target.executions).hasSize(running);
    }

    /** Guards against a request that runs twice because its frame arrived twice. */
    @Test
    void forwardFrameThatArrivesTwiceRunsOnce() {
        SimulatedDaemon supervisor = fleet.supervisorOf("target-0");
        ForwardRequest request = fleet.request("target-0", fleet.sliceOf("target-0"), 30_000);

        assertThat(supervisor.submit(request).join().isRight()).isTrue();

        assertThat(supervisor.submit(request).join().getLeft().kind()).isEqualTo(ErrorKind.DUPLICATE_REQUEST);
        assertThat(fleet.targets.get("target-0").executions).hasSize(1);
    }

    /** Guards against a fault during a recovery that leaves slices without an owner. */
    @Test
    void coordinatorLostInTheMiddleOfARecoveryIsReplacedByOneThatFinishesIt() {
        fleet.targets.get("target-2").isDead = true;
        fleet.await(
                "the loss is noticed",
                3_000,
                () -> fleet.table().servableBy("target-2").isEmpty());

        fleet.holderOf(RoleNames.pool(SimulatedFleet.POOL)).isDead = true;

        fleet.await("all slices are held", 5_000, () -> fleet.heldCount() == SliceTable.SLICE_COUNT);
    }
}
