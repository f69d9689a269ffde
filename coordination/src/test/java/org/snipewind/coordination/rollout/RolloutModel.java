package org.snipewind.coordination.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A small model of a pool during a roll-out. Instances apply a record and report their evidence with a delay; the
 * leader may be lost, and then nobody decides for some seconds. Time advances in steps of 50 ms.
 */
final class RolloutModel {

    static final String NEW = "v2";
    static final String OLD = "v1";
    static final long STEP_MILLIS = 50;
    private static final long REPORT_MILLIS = 400;
    private static final long APPLY_MILLIS = 150;

    /** How the new version behaves. */
    record Behaviour(
            double failureRate, double slowFactor, long faultFromMillis, double faultFromShare, boolean oneRoute) {

        static final Behaviour GOOD = new Behaviour(0, 1, 0, 0, false);

        boolean isBad() {
            return failureRate > 0 || slowFactor > 1;
        }
    }

    private record Applied(long atMillis, Optional<RolloutRecord> record) {}

    private final Random random;
    private final double requestsPerSecond;
    private final long durationMillis;
    private final Behaviour behaviour;
    private final double ambientFailureRate;
    private final long coldMillis;
    private final double speed;
    private final Map<String, VersionTally> introduced = new HashMap<>();
    private final Map<String, VersionTally> others = new HashMap<>();
    private final Deque<Applied> inDelivery = new ArrayDeque<>();
    private Optional<RolloutRecord> applied = Optional.empty();
    private Optional<RolloutOrder> order;
    private Optional<RolloutRecord> record = Optional.empty();
    private RolloutEvidence reported = RolloutEvidence.NONE;
    private RolloutEvidence baseline = RolloutEvidence.NONE;
    private long now;
    private long phaseSinceMillis;
    private long leaderSinceMillis;
    private long leaderBackMillis;
    private long lastOldRequestMillis;
    private boolean faultSeen;
    private long bad;
    private long fiftiethBadMillis = -1;
    long exposed;
    long requests;
    long lastExposedMillis;
    long completedMillis = -1;
    long rolledBackMillis = -1;
    long lastOldAfterCompletedMillis = -1;
    String reason = "";

    RolloutModel(
            long seed,
            double requestsPerSecond,
            long durationMillis,
            Behaviour behaviour,
            double ambientFailureRate,
            long coldMillis) {
        this.random = seeded(seed);
        this.requestsPerSecond = requestsPerSecond;
        this.durationMillis = durationMillis;
        this.behaviour = behaviour;
        this.ambientFailureRate = ambientFailureRate;
        this.coldMillis = coldMillis;
        this.speed = 0.6 + random.nextDouble() * 0.9;
        this.order = Optional.of(new RolloutOrder(NEW, durationMillis, 1));
    }

    /** Returns a generator whose first numbers differ for neighbouring seeds, unlike those of {@link Random}. */
    static Random seeded(long seed) {
        return new Random(new SplittableRandom(seed).nextLong());
    }

    void withdraw() {
        order = Optional.empty();
    }

    void loseLeader(long millis) {
        leaderBackMillis = now + millis;
    }

    Optional<RolloutRecord> record() {
        return record;
    }

    /** Returns the time from the 50th bad response to the last request to the new version, 0 if there is none. */
    long sentAfterFiftiethBad() {
        return fiftiethBadMillis < 0 ? 0 : Math.max(0, lastExposedMillis - fiftiethBadMillis);
    }

    void run(long untilMillis) {
        while (now < untilMillis) {
            now += STEP_MILLIS;
            while (!inDelivery.isEmpty() && inDelivery.peek().atMillis() <= now) {
                applied = inDelivery.poll().record();
            }
            serve();
            if (now % REPORT_MILLIS == 0) {
                reported = new RolloutEvidence(introduced, others);
            }
            if (now < leaderBackMillis) {
                leaderSinceMillis = leaderBackMillis;
                baseline = RolloutEvidence.NONE;
            } else {
                decide();
            }
        }
    }

    private void serve() {
        double expected = requestsPerSecond * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        VersionRule rule = new VersionRule(order, applied, true, true);
        for (int index = 0; index < count; index++) {
            requests++;
            boolean toNew = rule.useOf(NEW) == VersionRule.Use.SHARE && random.nextDouble() < rule.share();
            toNew |= rule.useOf(NEW) == VersionRule.Use.ALL && rule.useOf(OLD) == VersionRule.Use.NONE;
            String route = random.nextDouble() < 0.4 ? "a" : "b";
            if (toNew) {
                exposed++;
                lastExposedMillis = now;
                introduced.merge(route, respondNew(route), VersionTally::plus);
            } else {
                lastOldRequestMillis = now;
                if (completedMillis >= 0) {
                    lastOldAfterCompletedMillis = now;
                }
                others.merge(
                        route, tally(random.nextDouble() < ambientFailureRate, serviceMillis()), VersionTally::plus);
            }
        }
    }

    private VersionTally respondNew(String route) {
        faultSeen |= now >= behaviour.faultFromMillis()
                && applied.map(RolloutRecord::share).orElse(0.0) >= behaviour.faultFromShare();
        boolean faulty = faultSeen && (!behaviour.oneRoute() || route.equals("a"));
        boolean failed = random.nextDouble()
                < (faulty ? Math.max(behaviour.failureRate(), ambientFailureRate) : ambientFailureRate);
        if (failed) {
            bad++;
            if (bad == 50) {
                fiftiethBadMillis = now;
            }
        }
        if (now < coldMillis) {
            // Responses of targets that have just started are not timed.
            return new VersionTally(1, failed ? 1 : 0, 0, 0);
        }
        return tally(failed, serviceMillis() / speed * (faulty ? behaviour.slowFactor() : 1));
    }

    /** Returns a service time with the spread of target speeds and with a fifth of the targets slowed down for now. */
    private double serviceMillis() {
        return 100 * (0.5 + random.nextDouble()) * (random.nextDouble() < 0.2 ? 3 : 1);
    }

    private static VersionTally tally(boolean failed, double millis) {
        return failed ? new VersionTally(1, 1, 0, 0) : new VersionTally(1, 0, 1, millis);
    }

    private void decide() {
        boolean settled = applied.equals(record) && inDelivery.isEmpty() && now - lastOldRequestMillis >= 900;
        RolloutSituation situation = new RolloutSituation(
                now,
                now - Math.max(phaseSinceMillis, leaderSinceMillis),
                reported,
                reported.minus(baseline),
                now - leaderSinceMillis >= 900,
                3,
                Set.of(OLD),
                settled);
        RolloutStateMachine.next(order, record, situation).ifPresent(this::write);
    }

    private void write(RolloutDecision decision) {
        boolean changed = record.filter(
                        each -> each.phase() == decision.record().phase()
                                && each.share() == decision.record().share())
                .isEmpty();
        record = Optional.of(decision.record());
        inDelivery.add(new Applied(now + APPLY_MILLIS, record));
        if (!changed) {
            return;
        }
        phaseSinceMillis = now;
        baseline = reported;
        reason = decision.reason();
        if (decision.record().phase() == RolloutPhase.COMPLETED) {
            completedMillis = now;
        } else if (decision.record().phase() == RolloutPhase.ROLLED_BACK) {
            rolledBackMillis = now;
        }
    }

    @Override
    public String toString() {
        return "rate=" + requestsPerSecond + " duration=" + durationMillis + " " + behaviour + " ambient="
                + ambientFailureRate + " cold=" + coldMillis + " speed=" + speed + " exposed=" + exposed + " of "
                + requests + " bad=" + bad + " completed=" + completedMillis + " rolled-back=" + rolledBackMillis
                + " reason=" + reason;
    }
}
