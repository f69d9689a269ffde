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

/** Measures how often two targets hold or serve one slice, by the targets' records through a seeded mix of faults. */
final class ExclusiveRun {

    private static final String POOL = "reelteca";
    private static final int DAEMONS = 6;
    private static final double TARGET_SHARE = 0.4;
    private static final int FAULTS = 30;
    private static final int SHORTEST_MILLIS = 500;
    private static final int LONGEST_MILLIS = 3_000;
    private static final int KINDS = 6;
    private static final int KEYS = 200;
    private static final long CALL_EVERY_MILLIS = 5;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);

    private final Deployment deployment;
    private final Random random;
    private final KeyedCaller caller = new KeyedCaller();
    private final List<GrantInterval> grants = new ArrayList<>();
    private final List<ExecutionRecord> executions = new ArrayList<>();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong served = new AtomicLong();

    private ExclusiveRun(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    static List<MeasurementResult> measure(MeasurementOptions options) {
        DeploymentPlan plan =
                DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, TARGET_SHARE).withDaemonCount(DAEMONS);
        Set<String> separate = plan.configuration().pools().get(POOL).targets().keySet();
        try (Deployment deployment = Deployment.start(plan.withTargetsInOwnProcess(separate))) {
            return new ExclusiveRun(deployment, options.seed()).run(options.seed());
        }
    }

    private List<MeasurementResult> run(long seed) {
        ScheduledExecutorService load = Executors.newSingleThreadScheduledExecutor();
        Random keys = new Random(seed);
        List<DaemonHandle> daemons = deployment.daemons();
        load.scheduleAtFixedRate(
                () -> {
                    calls.incrementAndGet();
                    String address = daemons.get(keys.nextInt(daemons.size())).callerAddress();
                    caller.send(address, "narrator-" + keys.nextInt(KEYS), DEADLINE_MILLIS)
                            .thenAccept(target -> served.addAndGet(target.isPresent() ? 1 : 0));
                },
                0,
                CALL_EVERY_MILLIS,
                TimeUnit.MILLISECONDS);
        for (int number = 0; number < FAULTS; number++) {
            System.err.println(bringAbout());
            RecoveryRun.pause(SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS));
        }
        load.shutdownNow();
        RecoveryRun.pause(DEADLINE_MILLIS);
        separateTargets().forEach(this::collect);
        return report(seed);
    }

    private List<MeasurementResult> report(long seed) {
        List<String> overlaps = SliceOverlaps.find(grants, executions);
        overlaps.stream().limit(10).forEach(System.err::println);
        System.err.printf(
                "exclusive seed=%d faults=%d calls=%d served=%d grants=%d executions=%d overlaps=%d%n",
                seed, FAULTS, calls.get(), served.get(), grants.size(), executions.size(), overlaps.size());
        GrantInterval held = grants.get(grants.size() / 2);
        List<GrantInterval> faked = new ArrayList<>(grants);
        faked.add(
                new GrantInterval("fake", "fake-1", held.slice(), held.token(), held.fromMicros(), held.untilMicros()));
        // The baseline shows that the check sees an overlap.
        return List.of(
                MeasurementResult.of(
                        "exclusive.overlaps",
                        DeploymentPlan.VOCES_DEL_PLATA,
                        MeasurementResult.BASELINE + "-with-one-fake-holder",
                        "overlaps",
                        SliceOverlaps.find(faked, executions).size()),
                MeasurementResult.atMost(
                        "exclusive.overlaps",
                        DeploymentPlan.VOCES_DEL_PLATA,
                        "seed-" + seed,
                        "overlaps",
                        overlaps.size(),
                        0));
    }

    private String bringAbout() {
        TargetHandle target = pick(separateTargets());
        DaemonHandle daemon = pick(deployment.daemons());
        long millis = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS);
        switch (random.nextInt(KINDS)) {
            case 0:
                collect(target);
                target.kill();
                RecoveryRun.pause(millis);
                deployment.startTarget(target.name());
                return "kill " + target.name();
            case 1:
                daemon.kill();
                RecoveryRun.pause(millis);
                deployment.startDaemon(daemon.name());
                deployment.awaitReady(READY_LIMIT);
                return "kill " + daemon.name();
            case 2:
                target.pause();
                RecoveryRun.pause(millis);
                target.resume();
                return "pause " + target.name() + " for " + millis;
            case 3:
                daemon.pause();
                RecoveryRun.pause(millis);
                daemon.resume();
                return "pause " + daemon.name() + " for " + millis;
            case 4:
                deployment.store().setFaults(new StoreFaults(StoreFaults.Mode.HANG, 0, 0, Set.of()));
                RecoveryRun.pause(millis);
                deployment.store().setFaults(new StoreFaults(StoreFaults.Mode.NORMAL, 0, 0.3, Set.of()));
                return "store hangs for " + millis + ", then loses answers";
            default:
                deployment.disconnectFromStore(Set.of(daemon.name()));
                RecoveryRun.pause(millis);
                deployment.disconnectFromStore(Set.of());
                return "cut " + daemon.name() + " from the store for " + millis;
        }
    }

    private void collect(TargetHandle target) {
        grants.addAll(target.grantIntervals());
        executions.addAll(target.executions());
    }

    private List<TargetHandle> separateTargets() {
        return deployment.targets().stream().filter(TargetHandle::hasOwnProcess).toList();
    }

    private <T> T pick(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }
}
