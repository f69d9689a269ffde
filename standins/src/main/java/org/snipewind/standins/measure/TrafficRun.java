package org.snipewind.standins.measure;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.snipewind.command.replay.ReplayEngine;
import org.snipewind.command.replay.ReplayOptions;
import org.snipewind.command.replay.ReplayProgressListener;
import org.snipewind.command.replay.ReplayResult;
import org.snipewind.command.replay.TraceRequest;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.TargetStandInReport;
import org.snipewind.standins.trace.TraceGenerator;
import org.snipewind.standins.trace.TraceShape;

/**
 * One replay of a trace against a deployment of its own.
 *
 * @param startMicros start of the replay in microseconds since the epoch
 * @param results outcomes of the measured requests, without those of the warm-up
 * @param executions executions of the measured requests on all targets
 * @param reports reports of the targets after the replay
 */
record TrafficRun(
        long startMicros,
        List<ReplayResult> results,
        List<ExecutionRecord> executions,
        List<TargetStandInReport> reports) {

    private static final String MEASURED_ID_PREFIX = "m-";
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long WARM_UP_SEED_OFFSET = 1_000;

    /** Starts a deployment, warms it up with the same kind of traffic, and replays a trace. */
    static TrafficRun measure(DeploymentPlan plan, TraceShape shape, long seed, Disturbance disturbance) {
        return measure(plan, shape, shape, seed, disturbance);
    }

    static TrafficRun measure(
            DeploymentPlan plan, TraceShape warmUp, TraceShape shape, long seed, Disturbance disturbance) {
        try (Deployment deployment = Deployment.start(plan)) {
            List<String> addresses = deployment.daemons().stream()
                    .map(DaemonHandle::callerAddress)
                    .toList();
            replay(
                    addresses,
                    "w-",
                    TraceGenerator.generate(warmUp.withDurationMillis(WARM_UP_MILLIS), seed + WARM_UP_SEED_OFFSET));
            sleep(SETTLE_MILLIS);
            List<TraceRequest> trace = TraceGenerator.generate(shape, seed);
            long start = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
            CompletableFuture<Void> disturbanceEnd = new CompletableFuture<>();
            Thread thread = new Thread(() -> runDisturbance(deployment, disturbance, disturbanceEnd), "disturbance");
            thread.start();
            List<ReplayResult> results = replay(addresses, MEASURED_ID_PREFIX, trace);
            thread.interrupt();
            disturbanceEnd.join();
            sleep(SETTLE_MILLIS);
            return new TrafficRun(
                    start,
                    results,
                    deployment.targets().stream()
                            .flatMap(target -> target.executions().stream())
                            .filter(execution -> execution.uri().contains("request=" + MEASURED_ID_PREFIX))
                            .toList(),
                    deployment.targets().stream().map(target -> target.report()).toList());
        }
    }

    /** Returns the id of the request that was executed. */
    static String requestIdOf(ExecutionRecord execution) {
        return execution.uri().substring(execution.uri().indexOf("request=") + "request=".length());
    }

    /** Returns the plan with a changed policy. */
    static DeploymentPlan withPolicy(DeploymentPlan plan, UnaryOperator<PolicySettings> change) {
        return plan.withPolicy(change.apply(plan.policy()));
    }

    private static List<ReplayResult> replay(List<String> addresses, String idPrefix, List<TraceRequest> trace) {
        ReplayOptions options = new ReplayOptions(addresses, ReplayOptions.SAMPLE_KEY_PREFIX, idPrefix);
        try (ReplayEngine engine = new ReplayEngine(options)) {
            return engine.replay(trace, ReplayProgressListener.NONE);
        }
    }

    private static void runDisturbance(
            Deployment deployment, Disturbance disturbance, CompletableFuture<Void> disturbanceEnd) {
        try {
            disturbance.run(deployment);
            disturbanceEnd.complete(null);
        } catch (InterruptedException e) {
            disturbanceEnd.complete(null);
        } catch (RuntimeException e) {
            // At the end of the replay, the interrupt may hit the start of a process, which reports it as a failure.
            if (Thread.currentThread().isInterrupted()) {
                disturbanceEnd.complete(null);
                return;
            }
            disturbanceEnd.completeExceptionally(new CompletionException("the disturbance failed", e));
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted during a measurement", e);
        }
    }
}
