package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.RoleNames;

/** Tests faults in a pool whose targets do not check tokens, so that only the daemons can prevent wrong requests. */
class UncheckedTokenFaultTest {

    private static final long LONGEST_DEADLINE_MILLIS = 1_000;

    private final SimulatedFleet fleet = started();

    private static SimulatedFleet started() {
        SimulatedFleet fleet = new SimulatedFleet(false, 5, 3);
        fleet.await(
                "all slices are served",
                20_000,
                () -> fleet.table().version() > 0
                        && fleet.targets.keySet().stream()
                                .allMatch(target ->
                                        !fleet.table().servableBy(target).isEmpty()
                                                && fleet.isServed(fleet.sliceOf(target))));
        fleet.run(5_000);
        return fleet;
    }

    /** Guards against two daemons that send to one target, which cannot distinguish them. */
    @Test
    void successorWaitsForTheLongestDeadlineOfItsPredecessor() {
        SimulatedTarget target = fleet.targets.get("target-1");
        SimulatedDaemon holder = fleet.supervisorOf("target-1");
        int slice = fleet.sliceOf("target-1");
        long token = fleet.fleet().roles().get(RoleNames.target("target-1")).token();
        holder.pause();
        fleet.await(
                "the role moves",
                3_000,
                () -> fleet.fleet().roles().get(RoleNames.target("target-1")).token() > token);
        long movedMillis = fleet.clock.nowMillis();
        fleet.await("the slice is served", 5_000, () -> fleet.isServed(slice));

        assertThat(movedMillis).isAtLeast(holder.lease.validUntilMillis());
        assertThat(fleet.clock.nowMillis() - movedMillis).isAtLeast(LONGEST_DEADLINE_MILLIS);
        assertThat(target.executions.get(target.executions.size() - 1).token()).isGreaterThan(token);
    }

    /** Guards against a resumed holder whose requests the target would run beside those of its successor. */
    @Test
    void pausedHolderSendsNothingWhenItResumes() {
        SimulatedTarget target = fleet.targets.get("target-1");
        SimulatedDaemon holder = fleet.supervisorOf("target-1");
        int slice = fleet.sliceOf("target-1");
        holder.pause();
        fleet.run(5_000);
        int executions = target.executions.size();

        CompletableFuture<Either<Refusal, TargetResponse>> refused =
                holder.submit(fleet.request("target-1", slice, 30_000));
        holder.supervisors.run();
        holder.resume();
        fleet.run(3_000);

        assertThat(target.executions).hasSize(executions);
        assertThat(refused.join().getLeft().kind().execution()).isEqualTo(Execution.NOT_RUN);
    }

    /** Guards against a withdrawn key of a connected caller that the supervisor still accepts. */
    @Test
    void requestWithAWithdrawnKeyIsRefusedAtTheSupervisor() {
        SimulatedDaemon holder = fleet.supervisorOf("target-1");
        int executions = fleet.targets.get("target-1").executions.size();
        fleet.configure(Map.of());
        fleet.await(
                "the revision is in force",
                12_000,
                () -> holder.records.configuration().orElseThrow().revision() == 2);

        Either<Refusal, TargetResponse> response = holder.submit(
                        fleet.request("target-1", fleet.sliceOf("target-1"), 30_000))
                .join();

        assertThat(response.getLeft().kind()).isEqualTo(ErrorKind.KEY_REJECTED);
        assertThat(fleet.targets.get("target-1").executions).hasSize(executions);
    }

    /** Guards against a new owner that serves a slice while requests of the previous owner may still run. */
    @Test
    void slicesOfALostTargetMoveOnlyAfterTheLongestDeadline() {
        int slice = fleet.sliceOf("target-1");
        long lostMillis = fleet.clock.nowMillis();

        fleet.targets.get("target-1").isDead = true;
        fleet.await(
                "the slices move",
                10_000,
                () -> !List.of("target-1")
                        .contains(fleet.table().slices().get(slice).owner().orElse("")));

        assertThat(fleet.clock.nowMillis() - lostMillis).isAtLeast(LONGEST_DEADLINE_MILLIS);
    }
}
