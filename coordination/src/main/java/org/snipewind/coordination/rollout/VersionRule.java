package org.snipewind.coordination.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tells which versions of a pool an instance may send requests to, by its copy of the order and the record.
 *
 * <p>A version that is ordered but not in the record of that order gets nothing, so that an instance that learns of the
 * order first, or has just started, does not use the version before the leader allows it.
 */
public final class VersionRule {

    /** Which requests a version may get. */
    public enum Use {
        /** All requests. */
        ALL,
        /** The share of the requests that are drawn for the version that is introduced. */
        SHARE,
        /** None. */
        NONE
    }

    private final Optional<RolloutOrder> order;
    private final Optional<RolloutRecord> record;
    private final boolean copyCurrent;
    private final boolean retiredExcluded;

    /** Uses that were determined already; a pool has many targets, but few versions. */
    private final Map<String, Use> uses = new ConcurrentHashMap<>();

    /**
     * Creates the rule of a pool.
     *
     * @param order the order of the pool
     * @param record the record of the pool
     * @param copyCurrent whether the copy of the store was confirmed recently
     * @param retiredExcluded whether versions that were replaced get no requests even without an order
     */
    public VersionRule(
            Optional<RolloutOrder> order,
            Optional<RolloutRecord> record,
            boolean copyCurrent,
            boolean retiredExcluded) {
        this.order = order;
        this.record = record;
        this.copyCurrent = copyCurrent;
        this.retiredExcluded = retiredExcluded;
    }

    /**
     * Returns the fraction of the requests that go to the version that is introduced.
     *
     * @return 0 if no roll-out is in progress, or if it can't be confirmed
     */
    public double share() {
        boolean inForce = record.filter(each -> each.phase().isInProgress())
                .filter(each -> order.filter(ordered -> ordered.revision() == each.orderRevision())
                        .isPresent())
                .isPresent();
        return inForce && copyCurrent ? record.get().share() : 0;
    }

    /**
     * Returns which requests a version may get.
     *
     * @param version the version
     * @return its use
     */
    public Use useOf(String version) {
        Use known = uses.get(version);
        return known != null ? known : uses.computeIfAbsent(version, this::determineUse);
    }

    private Use determineUse(String version) {
        if (record.filter(each -> each.rejected().contains(version)).isPresent() || isAwaitingTakeUp(version)) {
            return Use.NONE;
        }
        if (record.isEmpty()) {
            return Use.ALL;
        }
        RolloutRecord known = record.get();
        boolean introduced = known.version().equals(version);
        if (known.phase().isInProgress()) {
            double share = share();
            if (introduced) {
                return share > 0 ? Use.SHARE : Use.NONE;
            }
            return share >= 1 ? Use.NONE : Use.ALL;
        }
        boolean retired = known.phase() == RolloutPhase.COMPLETED
                && !introduced
                && known.retired().contains(version)
                && (order.isPresent() || retiredExcluded);
        return retired ? Use.NONE : Use.ALL;
    }

    /** Returns whether the leader has not yet taken up the order of a version that is not in use already. */
    private boolean isAwaitingTakeUp(String version) {
        boolean ordered = order.filter(each -> each.version().equals(version)
                        && record.filter(known -> known.orderRevision() == each.revision())
                                .isEmpty())
                .isPresent();
        boolean inUse = record.filter(known -> known.phase() == RolloutPhase.COMPLETED
                        && known.version().equals(version))
                .isPresent();
        return ordered && !inUse;
    }
}
