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

/** Measures the time until a key is served again after a target, its supervisor, both or a data centre was killed. */
final class RecoveryRun {

    private static final String POOL = "reelteca";
    private static final int DAEMONS = 6;
    private static final int ROUNDS = 3;
    private static final double TARGET_SHARE = 0.4;
    private static final long CALL_EVERY_MILLIS = 25;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final double TARGET_MILLIS = 2_000;
    private static final long LIMIT_MILLIS = 20_000;
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);

    private final Deployment deployment;
    private final KeyedCaller caller = new KeyedCaller();
    private int keys;

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
                DeploymentPlan.of(DeploymentPlan.VOCES_DEL_PLATA, TARGET_SHARE).withDaemonCount(DAEMONS);
        Set<String> separate = plan.configuration().pools().get(POOL).targets().keySet();
        try (Deployment deployment = Deployment.start(plan.withTargetsInOwnProcess(separate))) {
            return new RecoveryRun(deployment).run();
        }
    }

    private List<MeasurementResult> run() {
        List<MeasurementResult> results = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        for (Loss loss : Loss.values()) {
            List<Long> times = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                times.add(lose(loss));
            }
            all.addAll(times);
            results.add(result(
                    "recovery.max", loss.name().toLowerCase(Locale.ROOT).replace('_', '-'), Collections.max(times)));
        }
        Collections.sort(all);
        results.add(result("recovery.p50", "all-losses", all.get(all.size() / 2)));
        results.add(result("recovery.max", "all-losses", all.get(all.size() - 1)));
        return results;
    }

    private static MeasurementResult result(String name, String variant, long millis) {
        return MeasurementResult.atMost(name, DeploymentPlan.VOCES_DEL_PLATA, variant, "ms", millis, TARGET_MILLIS);
    }

    private long lose(Loss loss) {
        keys++;
        String key = "narrator-" + keys;
        DaemonHandle first = deployment.daemons().get(0);
        String[] owner = new String[1];
        Deployment.await("service of " + key, READY_LIMIT, () -> {
            Optional<String> target =
                    caller.send(first.callerAddress(), key, DEADLINE_MILLIS).join();
            target.ifPresent(name -> owner[0] = name);
            return target.isPresent();
        });
        TargetHandle target = deployment.target(owner[0]);
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
        DaemonHandle entry = deployment.daemons().stream()
                .filter(each -> !lostDaemons.contains(each))
                .findFirst()
                .orElseThrow();
        long start = System.nanoTime();
        lostTargets.forEach(each -> each.kill());
        lostDaemons.forEach(DaemonHandle::kill);
        long millis = awaitService(entry.callerAddress(), key, start);
        lostTargets.forEach(each -> deployment.startTarget(each.name()));
        lostDaemons.forEach(each -> deployment.startDaemon(each.name()));
        deployment.awaitReady(READY_LIMIT);
        pause(3_000);
        return millis;
    }

    private long awaitService(String address, String key, long startNanos) {
        AtomicLong served = new AtomicLong();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        while (served.get() == 0 && since(startNanos) < LIMIT_MILLIS) {
            calls.add(caller.send(address, key, DEADLINE_MILLIS).thenAccept(target -> {
                if (target.isPresent()) {
                    served.compareAndSet(0, since(startNanos));
                }
            }));
            pause(CALL_EVERY_MILLIS);
        }
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
        return served.get() == 0 ? LIMIT_MILLIS : served.get();
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

    private static long since(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
