package org.snipewind.router.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.rollout.VersionRule;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.PoolRollout;

/** Tells which targets of a pool a request may use, by the roll-outs in the fleet view. Any thread may use it. */
public final class VersionRouting {

    /** Age of the copy of the store from which a roll-out counts as not confirmed. */
    private static final long MAX_COPY_AGE_MILLIS = 2_000;

    /** Time for which replaced versions get no requests once their order is gone; their entries outlive them. */
    private static final long RETIRED_MILLIS = 10_000;

    /** A rule with what it was made of. */
    private record KnownRule(PoolRollout rollout, boolean copyCurrent, boolean retiredExcluded, VersionRule rule) {}

    private final FleetTracker tracker;
    private final MillisClock clock;
    private final VersionEvidence evidence;
    private final Map<String, KnownRule> rules = new ConcurrentHashMap<>();
    private volatile LongSupplier copyAgeMillis = () -> 0;

    /**
     * Creates the filter of an instance whose copy of the store is always current.
     *
     * @param tracker source of the fleet view
     * @param clock clock that measures the age of records
     */
    public VersionRouting(FleetTracker tracker, MillisClock clock) {
        this.tracker = tracker;
        this.clock = clock;
        this.evidence = new VersionEvidence(tracker, clock);
    }

    /**
     * Connects the filter to the instance of which it is a part.
     *
     * @param ageMillis supplies the milliseconds since the copy of the store was confirmed
     * @param metrics where requests, failures and service times are counted by version
     */
    public void connect(LongSupplier ageMillis, ProcessMetrics metrics) {
        copyAgeMillis = ageMillis;
        evidence.setMetrics(metrics);
    }

    /**
     * Returns what this instance observes of the versions.
     *
     * @return the evidence
     */
    public VersionEvidence evidence() {
        return evidence;
    }

    /**
     * Returns the rule of a pool.
     *
     * @param pool name of the pool
     * @return the rule, empty if the pool never had a roll-out
     */
    public Optional<VersionRule> rule(String pool) {
        PoolRollout rollout = tracker.view().rollouts().get(pool);
        return rollout == null ? Optional.empty() : Optional.of(rule(pool, rollout));
    }

    private VersionRule rule(String pool, PoolRollout rollout) {
        boolean copyCurrent = copyAgeMillis.getAsLong() <= MAX_COPY_AGE_MILLIS;
        boolean retiredExcluded = clock.nowMillis() - rollout.recordSeenMillis() < RETIRED_MILLIS;
        KnownRule known = rules.get(pool);
        // A roll-out that has not changed is the same object in each view.
        if (known == null
                || known.rollout() != rollout
                || known.copyCurrent() != copyCurrent
                || known.retiredExcluded() != retiredExcluded) {
            VersionRule rule = new VersionRule(rollout.order(), rollout.record(), copyCurrent, retiredExcluded);
            known = new KnownRule(rollout, copyCurrent, retiredExcluded, rule);
            rules.put(pool, known);
        }
        return known.rule();
    }

    /**
     * Returns whether a target may get any request.
     *
     * @param target the target
     * @return false if its version is not in use, or not confirmed to be
     */
    public boolean mayUse(TargetState target) {
        return rule(target.registration().pool())
                .map(rule -> rule.useOf(target.registration().version()) != VersionRule.Use.NONE)
                .orElse(true);
    }

    /**
     * Returns whether a target's version is being tried with a part of the requests. Its responses are awaited even if
     * they take long, since a hedge would hide that they are slow or missing.
     *
     * @param target the target
     * @return true during the canary and the ramp of its version
     */
    public boolean isOnTrial(TargetState target) {
        return rule(target.registration().pool())
                .filter(rule ->
                        rule.share() < 1 && rule.useOf(target.registration().version()) == VersionRule.Use.SHARE)
                .isPresent();
    }

    /**
     * Chooses the targets among which one is selected for a request. The first attempt of a request is drawn for the
     * version that is introduced, according to its share; further attempts return to the other versions.
     *
     * @param pool name of the pool
     * @param inService targets in service
     * @param firstAttempt whether the request was sent to no target yet
     * @param usable whether a target can take the request now
     * @return the targets of the version that is introduced or those of all others
     */
    public List<TargetState> candidates(
            String pool, List<TargetState> inService, boolean firstAttempt, Predicate<TargetState> usable) {
        Optional<VersionRule> known = rule(pool);
        if (known.isEmpty()) {
            return inService;
        }
        VersionRule rule = known.get();
        List<TargetState> introduced = new ArrayList<>();
        List<TargetState> others = new ArrayList<>();
        for (TargetState target : inService) {
            switch (rule.useOf(target.registration().version())) {
                case SHARE -> introduced.add(target);
                case ALL -> others.add(target);
                default -> {
                    // The version is not in use.
                }
            }
        }
        double share = rule.share();
        boolean drawn = share >= 1
                || firstAttempt
                        && share > 0
                        && ThreadLocalRandom.current().nextDouble() < share
                        && introduced.stream().anyMatch(usable);
        return drawn ? introduced : others;
    }
}
