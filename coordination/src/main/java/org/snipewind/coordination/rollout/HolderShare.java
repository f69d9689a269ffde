package org.snipewind.coordination.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import org.snipewind.coordination.keyspace.KeyMove;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.TargetState;

/** Tells which targets of a keyed pool may hold keys during a roll-out, and what fraction of their capacity counts. */
public final class HolderShare {

    private final VersionRule rule;
    private final Map<String, Double> introducedFactors = new HashMap<>();

    /**
     * Chooses the targets of the introduced version that may hold keys; the same ones each time for the same share, so
     * that keys do not move without need.
     *
     * @param rule the rule of the pool
     * @param targets targets of the pool in service
     */
    public HolderShare(VersionRule rule, Collection<TargetState> targets) {
        this.rule = rule;
        List<String> introduced = targets.stream()
                .filter(target -> useOf(target) == VersionRule.Use.SHARE)
                .map(TargetState::incarnation)
                .sorted()
                .toList();
        long others = targets.stream()
                .filter(target -> useOf(target) == VersionRule.Use.ALL)
                .count();
        double share = rule.share();
        if (others == 0 || share >= 1) {
            introduced.forEach(incarnation -> introducedFactors.put(incarnation, 1.0));
            return;
        }
        // So many targets, counted as whole ones, carry the share beside the others.
        double wanted = share * others / (1 - share);
        int chosen = (int) Math.min(introduced.size(), Math.ceil(wanted));
        introduced
                .subList(0, chosen)
                .forEach(incarnation -> introducedFactors.put(incarnation, Math.min(1, wanted / chosen)));
    }

    private VersionRule.Use useOf(TargetState target) {
        return rule.useOf(target.registration().version());
    }

    /**
     * Adds moves to the introduced targets if nothing else is to be moved.
     *
     * @param planned moves that are planned already
     * @param table current holders
     * @param rates requests per second by key
     * @return the moves
     */
    public List<KeyMove> orIntroduce(List<KeyMove> planned, KeyTable table, NavigableMap<Integer, Double> rates) {
        return planned.isEmpty()
                ? IntroducedKeyPlanner.plan(table, List.copyOf(introducedFactors.keySet()), rule.share(), rates)
                : planned;
    }

    /**
     * Returns the fraction of a target's capacity that counts when keys are assigned.
     *
     * @param target the target
     * @return 0 if it may not hold keys
     */
    public double factor(TargetState target) {
        return switch (useOf(target)) {
            case ALL -> 1;
            case SHARE -> introducedFactors.getOrDefault(target.incarnation(), 0.0);
            case NONE -> 0;
        };
    }
}
