package org.snipewind.coordination.rollout;

import java.util.Set;

/**
 * What the leader knows about a roll-out besides its order and record.
 *
 * @param elapsedMillis time since the order
 * @param phaseMillis time since the last change of the phase or the share, as far as this leader knows
 * @param total evidence since the order
 * @param sincePhase evidence since the last change of the phase or the share
 * @param evidenceCurrent whether the instances had time to report to this leader
 * @param introducedTargets number of targets of the ordered version in service
 * @param otherVersions versions of the other targets in service
 * @param settled whether all instances apply the record, no request runs at another version, and none holds keys
 */
public record RolloutSituation(
        long elapsedMillis,
        long phaseMillis,
        RolloutEvidence total,
        RolloutEvidence sincePhase,
        boolean evidenceCurrent,
        int introducedTargets,
        Set<String> otherVersions,
        boolean settled) {}
