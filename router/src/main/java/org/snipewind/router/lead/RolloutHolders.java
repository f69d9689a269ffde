package org.snipewind.router.lead;

import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.rollout.HolderShare;
import org.snipewind.coordination.rollout.VersionRule;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.PoolRollout;

/** Tells which targets of a keyed pool may hold keys during a roll-out, as the leader sees it. */
final class RolloutHolders {

    private RolloutHolders() {}

    /** Returns the share of keys of each target; a leader acts only while the store confirms its copy. */
    static HolderShare share(String pool, FleetView view) {
        Optional<PoolRollout> rollout = Optional.ofNullable(view.rollouts().get(pool));
        VersionRule rule =
                new VersionRule(rollout.flatMap(PoolRollout::order), rollout.flatMap(PoolRollout::record), true, false);
        return new HolderShare(rule, view.inService().getOrDefault(pool, List.of()));
    }
}
