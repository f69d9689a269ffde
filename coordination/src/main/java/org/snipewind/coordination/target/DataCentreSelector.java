package org.snipewind.coordination.target;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Selects the target of a request to an undivided pool, in the data centre of the instance unless the load there
 * requires another one. Not thread-safe.
 */
public final class DataCentreSelector {

    /**
     * Link bandwidth in Mbit/s from which an instance keeps the fixed weighting of other data centres. Deployments in
     * which bytes between data centres are scarce have links of 7 to 200 Mbit/s, the others of 1,000.
     */
    private static final double MIN_LARGE_LINK_MEGABITS = 250;

    /**
     * Factor by which the response time of a target in another data centre is weighted on instances with large links.
     * Traffic between data centres costs money and time, so a remote target must be clearly faster than a local one.
     */
    private static final double REMOTE_RESPONSE_TIME_FACTOR = 1.3;

    /** Time added to the response time of a target in another data centre. */
    private static final double REMOTE_PENALTY_MILLIS = 5;

    private record PolicyKey(String pool, String route) {}

    private final String dataCentre;
    private final boolean localFirst;
    private final LeastResponseTimeSelector selector;
    private final DoubleSupplier random;
    private final Map<PolicyKey, SpilloverPolicy> policies = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param dataCentre data centre of this instance
     * @param linkMegabits bandwidth of the instance's network link, in Mbit/s
     * @param random source of uniformly distributed random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public DataCentreSelector(String dataCentre, double linkMegabits, DoubleSupplier random) {
        this.dataCentre = dataCentre;
        this.localFirst = linkMegabits < MIN_LARGE_LINK_MEGABITS;
        this.selector = new LeastResponseTimeSelector(
                dataCentre, localFirst ? 1 : REMOTE_RESPONSE_TIME_FACTOR, REMOTE_PENALTY_MILLIS, random);
        this.random = random;
    }

    /**
     * Selects a target.
     *
     * @param request the request
     * @param candidates the targets of the pool
     * @param nowMillis current time
     * @return the target, empty if the request may be sent to none; a target that is paused after failures is selected
     *     only if there is no other
     */
    public Optional<Selection> choose(SpilloverRequest request, Candidates candidates, long nowMillis) {
        SpilloverPolicy policy = policies.computeIfAbsent(
                new PolicyKey(request.pool(), request.route()), key -> new SpilloverPolicy(random));
        return choose(policy, request, candidates, nowMillis);
    }

    /**
     * Selects a target like {@link #choose(SpilloverRequest, Candidates, long)}, without any effect on later choices.
     *
     * @param request the request
     * @param candidates the targets of the pool
     * @param nowMillis current time
     * @return the target, empty if the request may be sent to none
     */
    public Optional<Selection> preview(SpilloverRequest request, Candidates candidates, long nowMillis) {
        SpilloverPolicy policy = Optional.ofNullable(policies.get(new PolicyKey(request.pool(), request.route())))
                .map(SpilloverPolicy::copy)
                .orElseGet(() -> new SpilloverPolicy(random));
        return choose(policy, request, candidates, nowMillis);
    }

    /**
     * Selects the target with the shortest expected response time in the data centre of the instance, or elsewhere if
     * there is none; targets that are paused after failures are not selected.
     *
     * @param candidates the targets of the pool
     * @param nowMillis current time
     * @return the target, empty if the request may be sent to none
     */
    public Optional<TargetState> chooseNearest(Candidates candidates, long nowMillis) {
        return selector.best(candidates, nowMillis, false, this::isLocal)
                .or(() -> bestRemote(candidates, nowMillis, false))
                .map(ScoredTarget::target);
    }

    private Optional<Selection> choose(
            SpilloverPolicy policy, SpilloverRequest request, Candidates candidates, long nowMillis) {
        if (!localFirst) {
            return selector.choose(candidates, nowMillis).map(target -> weighted(target, candidates, nowMillis));
        }
        Optional<Selection> unpaused = chooseLocalFirst(policy, request, candidates, nowMillis, false);
        return unpaused.isPresent() ? unpaused : chooseLocalFirst(policy, request, candidates, nowMillis, true);
    }

    private Optional<Selection> chooseLocalFirst(
            SpilloverPolicy policy, SpilloverRequest request, Candidates candidates, long nowMillis, boolean paused) {
        Optional<ScoredTarget> local = selector.best(candidates, nowMillis, paused, this::isLocal);
        if (local.isEmpty()) {
            SpilloverReason reason = reasonWithoutLocal(candidates.targets(), nowMillis);
            if (reason == SpilloverReason.LOCAL_FULL) {
                policy.recordLocalFull(nowMillis);
            }
            return bestRemote(candidates, nowMillis, paused).map(remote -> selection(remote, reason));
        }
        double localMillis = local.get().scoreMillis();
        if (!policy.mayLeave(localMillis, request, nowMillis)) {
            return local.map(DataCentreSelector::stay);
        }
        return bestRemote(candidates, nowMillis, paused)
                .filter(remote -> policy.isRemoteWorthwhile(localMillis, remote.scoreMillis(), request))
                .map(remote -> selection(remote, SpilloverReason.LOCAL_LATE))
                .or(() -> local.map(DataCentreSelector::stay));
    }

    private Optional<ScoredTarget> bestRemote(Candidates candidates, long nowMillis, boolean paused) {
        return selector.best(candidates, nowMillis, paused, target -> !isLocal(target));
    }

    private static Selection stay(ScoredTarget local) {
        return new Selection(local.target(), Optional.empty());
    }

    private static Selection selection(ScoredTarget remote, SpilloverReason reason) {
        return new Selection(remote.target(), Optional.of(reason));
    }

    /** Adds the reason to a target that was selected by its weighted response time. */
    private Selection weighted(TargetState target, Candidates candidates, long nowMillis) {
        if (isLocal(target)) {
            return new Selection(target, Optional.empty());
        }
        SpilloverReason reason = reasonWithoutLocal(candidates.targets(), nowMillis);
        boolean hasRoom = reason == SpilloverReason.LOCAL_FULL
                && candidates.targets().stream().anyMatch(local -> isUsable(local, candidates, nowMillis));
        return new Selection(target, Optional.of(hasRoom ? SpilloverReason.LOCAL_LATE : reason));
    }

    private boolean isUsable(TargetState target, Candidates candidates, long nowMillis) {
        return isLocal(target)
                && !target.isPaused(nowMillis)
                && candidates.allowed().test(target);
    }

    private SpilloverReason reasonWithoutLocal(List<TargetState> targets, long nowMillis) {
        return targets.stream().anyMatch(target -> isLocal(target) && !target.isPaused(nowMillis))
                ? SpilloverReason.LOCAL_FULL
                : SpilloverReason.NO_LOCAL_TARGET;
    }

    private boolean isLocal(TargetState target) {
        return target.registration().dataCentre().equals(dataCentre);
    }
}
