package org.snipewind.standins.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.TargetHandle;
import org.snipewind.standins.store.StoreFaults;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;

/** Counts, in the targets' records, how often two targets hold or serve the same slice under a seeded mix of faults. */
final class ExclusiveOwnershipRun {

    private static final String POOL = "reelteca";
    private static final int DAEMONS = 6;
    private static final double TARGET_RATIO = 0.4;
    private static final int FAULTS = 30;
    private static final int MIN_DURATION_MILLIS = 500;
    private static final int DURATION_RANGE_MILLIS = 3_000;
    private static final int FAULT_KINDS = 6;
    private static final int KEYS = 200;
    private static final long REQUEST_INTERVAL_MILLIS = 5;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);

    private final Deployment deployment;
    private final Random random;
    private final KeyedCaller caller = new KeyedCaller();
    private final List<GrantInterval> grants = new ArrayList<>();
    private final List<ExecutionRecord> executions = new ArrayList<>();
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicLong servedCount = new AtomicLong();

    private ExclusiveOwnershipRun(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    static List<MeasurementResult> measure(MeasurementOptions options) {
        DeploymentPlan plan =
                DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, TARGET_RATIO).withDaemonCount(DAEMONS);
        Set<String> poolTargets =
                plan.configuration().pools().get(POOL).targets().keySet();
        try (Deployment deployment = Deployment.start(plan.withTargetsInOwnProcess(poolTargets))) {
            return new ExclusiveOwnershipRun(deployment, options.seed()).run(options.seed());
        }
    }

    private List<MeasurementResult> run(long seed) {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        Random keyRandom = new Random(seed);
        List<DaemonHandle> daemons = deployment.daemons();
        scheduler.scheduleAtFixedRate(
                () -> {
                    requestCount.incrementAndGet();
                    String address =
                            daemons.get(keyRandom.nextInt(daemons.size())).callerAddress();
                    caller.send(address, "narrator-" + keyRandom.nextInt(KEYS), DEADLINE_MILLIS)
                            .thenAccept(target -> servedCount.addAndGet(target.isPresent() ? 1 : 0));
                },
                0,
                REQUEST_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        for (int number = 0; number < FAULTS; number++) {
            System.err.println(injectRandomFault());
            RecoveryRun.sleep(MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS));
        }
        scheduler.shutdownNow();
        RecoveryRun.sleep(DEADLINE_MILLIS);
        targetsInOwnProcess().forEach(this::collectRecords);
        return report(seed);
    }

    private List<MeasurementResult> report(long seed) {
        List<String> overlaps = SliceOverlaps.find(grants, executions);
        overlaps.stream().limit(10).forEach(System.err::println);
        System.err.printf(
                "exclusive seed=%d faults=%d calls=%d served=%d grants=%d executions=%d overlaps=%d%n",
                seed, FAULTS, requestCount.get(), servedCount.get(), grants.size(), executions.size(), overlaps.size());
        GrantInterval genuine = grants.get(grants.size() / 2);
        List<GrantInterval> withFakeHolder = new ArrayList<>(grants);
        withFakeHolder.add(new GrantInterval(
                "fake", "fake-1", genuine.slice(), genuine.token(), genuine.fromMicros(), genuine.untilMicros()));
        // The baseline proves that the check detects an overlap.
        return List.of(
                MeasurementResult.of(
                        "exclusive.overlaps",
                        DeploymentPlan.VOCES_DEL_PLATA,
                        MeasurementResult.BASELINE + "-with-one-fake-holder",
                        "overlaps",
                        SliceOverlaps.find(withFakeHolder, executions).size()),
                MeasurementResult.atMost(
                        "exclusive.overlaps",
                        DeploymentPlan.VOCES_DEL_PLATA,
                        "seed-" + seed,
                        "overlaps",
                        overlaps.size(),
                        0));
    }

    private String injectRandomFault() {
        TargetHandle target = pickRandom(targetsInOwnProcess());
        DaemonHandle daemon = pickRandom(deployment.daemons());
        long durationMillis = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
        switch (random.nextInt(FAULT_KINDS)) {
            case 0:
                collectRecords(target);
                target.kill();
                RecoveryRun.sleep(durationMillis);
                deployment.startTarget(target.name());
                return "kill " + target.name();
            case 1:
                daemon.kill();
                RecoveryRun.sleep(durationMillis);
                deployment.startDaemon(daemon.name());
                deployment.awaitReady(READY_TIMEOUT);
                return "kill " + daemon.name();
            case 2:
                target.pause();
                RecoveryRun.sleep(durationMillis);
                target.resume();
                return "pause " + target.name() + " for " + durationMillis;
            case 3:
                daemon.pause();
                RecoveryRun.sleep(durationMillis);
                daemon.resume();
                return "pause " + daemon.name() + " for " + durationMillis;
            case 4:
                deployment.store().setFaults(new StoreFaults(StoreFaults.Mode.HANG, 0, 0, Set.of()));
                RecoveryRun.sleep(durationMillis);
                deployment.store().setFaults(new StoreFaults(StoreFaults.Mode.NORMAL, 0, 0.3, Set.of()));
                return "store hangs for " + durationMillis + ", then loses answers";
            default:
                deployment.disconnectFromStore(Set.of(daemon.name()));
                RecoveryRun.sleep(durationMillis);
                deployment.disconnectFromStore(Set.of());
                return "cut " + daemon.name() + " from the store for " + durationMillis;
        }
    }

    private void collectRecords(TargetHandle target) {
        grants.addAll(target.grantIntervals());
        executions.addAll(target.executions());
    }

    private List<TargetHandle> targetsInOwnProcess() {
        return deployment.targets().stream().filter(TargetHandle::hasOwnProcess).toList();
    }

    private <T> T pickRandom(List<T> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
