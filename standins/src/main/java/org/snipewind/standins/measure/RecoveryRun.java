package org.snipewind.standins.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.snipewind.standins.deployment.DaemonHandle;
import org.snipewind.standins.deployment.Deployment;
import org.snipewind.standins.deployment.DeploymentPlan;
import org.snipewind.standins.deployment.TargetHandle;

/**
 * Measures the time until a key is served again after its target, the target's supervisor, both or a data centre was
 * killed.
 */
final class RecoveryRun {

    private static final String POOL = "reelteca";
    private static final int DAEMONS = 6;
    private static final int ROUNDS = 3;
    private static final double TARGET_RATIO = 0.4;
    private static final long REQUEST_INTERVAL_MILLIS = 25;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final double GOAL_MILLIS = 2_000;
    private static final long RECOVERY_TIMEOUT_MILLIS = 20_000;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);

    private final Deployment deployment;
    private final KeyedCaller caller = new KeyedCaller();
    private int keyCount;

    private enum Loss {
        TARGET,
        DAEMON,
        BOTH,
        DATA_CENTRE
    }

    private RecoveryRun(Deployment deployment) {
        this.deployment = deployment;
    }

    static List<MeasurementResult> measure(MeasurementOptions options) {
        DeploymentPlan plan =
                DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, TARGET_RATIO).withDaemonCount(DAEMONS);
        Set<String> poolTargets =
                plan.configuration().pools().get(POOL).targets().keySet();
        try (Deployment deployment = Deployment.start(plan.withTargetsInOwnProcess(poolTargets))) {
            return new RecoveryRun(deployment).run();
        }
    }

    private List<MeasurementResult> run() {
        List<MeasurementResult> results = new ArrayList<>();
        List<Long> allMillis = new ArrayList<>();
        for (Loss loss : Loss.values()) {
            List<Long> lossMillis = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                lossMillis.add(recoveryMillis(loss));
            }
            allMillis.addAll(lossMillis);
            results.add(result(
                    "recovery.max",
                    loss.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                    Collections.max(lossMillis)));
        }
        Collections.sort(allMillis);
        results.add(result("recovery.p50", "all-losses", allMillis.get(allMillis.size() / 2)));
        results.add(result("recovery.max", "all-losses", allMillis.get(allMillis.size() - 1)));
        return results;
    }

    private static MeasurementResult result(String name, String variant, long millis) {
        return MeasurementResult.atMost(name, DeploymentPlan.VOCES_DEL_PLATA, variant, "ms", millis, GOAL_MILLIS);
    }

    private long recoveryMillis(Loss loss) {
        keyCount++;
        String key = "narrator-" + keyCount;
        DaemonHandle firstDaemon = deployment.daemons().get(0);
        String[] servingTarget = new String[1];
        Deployment.await("service of " + key, READY_TIMEOUT, () -> {
            Optional<String> target = caller.send(firstDaemon.callerAddress(), key, DEADLINE_MILLIS)
                    .join();
            target.ifPresent(name -> servingTarget[0] = name);
            return target.isPresent();
        });
        TargetHandle target = deployment.target(servingTarget[0]);
        DaemonHandle supervisor = supervisorOf(target.name());
        List<TargetHandle> lostTargets = new ArrayList<>();
        List<DaemonHandle> lostDaemons = new ArrayList<>();
        if (loss == Loss.DATA_CENTRE) {
            deployment.targets().stream()
                    .filter(each -> each.hasOwnProcess() && each.dataCentre().equals(target.dataCentre()))
                    .forEach(lostTargets::add);
            deployment.daemons().stream()
                    .filter(each -> each.dataCentre().equals(target.dataCentre()))
                    .forEach(lostDaemons::add);
        }
        if (loss == Loss.TARGET || loss == Loss.BOTH) {
            lostTargets.add(target);
        }
        if (loss == Loss.DAEMON || loss == Loss.BOTH) {
            lostDaemons.add(supervisor);
        }
        DaemonHandle survivingDaemon = deployment.daemons().stream()
                .filter(each -> !lostDaemons.contains(each))
                .findFirst()
                .orElseThrow();
        long startNanos = System.nanoTime();
        lostTargets.forEach(each -> each.kill());
        lostDaemons.forEach(DaemonHandle::kill);
        long millis = awaitService(survivingDaemon.callerAddress(), key, startNanos);
        lostTargets.forEach(each -> deployment.startTarget(each.name()));
        lostDaemons.forEach(each -> deployment.startDaemon(each.name()));
        deployment.awaitReady(READY_TIMEOUT);
        sleep(3_000);
        return millis;
    }

    private long awaitService(String address, String key, long startNanos) {
        AtomicLong servedMillis = new AtomicLong();
        List<CompletableFuture<?>> responses = new ArrayList<>();
        while (servedMillis.get() == 0 && elapsedMillis(startNanos) < RECOVERY_TIMEOUT_MILLIS) {
            responses.add(caller.send(address, key, DEADLINE_MILLIS).thenAccept(target -> {
                if (target.isPresent()) {
                    servedMillis.compareAndSet(0, elapsedMillis(startNanos));
                }
            }));
            sleep(REQUEST_INTERVAL_MILLIS);
        }
        CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new)).join();
        return servedMillis.get() == 0 ? RECOVERY_TIMEOUT_MILLIS : servedMillis.get();
    }

    private DaemonHandle supervisorOf(String target) {
        return deployment.daemons().stream()
                .filter(daemon -> deployment
                        .status(daemon)
                        .map(status -> status.targets().stream()
                                .map(each -> each.name())
                                .collect(Collectors.toSet())
                                .contains(target))
                        .orElse(false))
                .findFirst()
                .orElseThrow();
    }

    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
