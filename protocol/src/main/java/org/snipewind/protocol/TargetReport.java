package org.snipewind.protocol;

import java.util.Map;

/**
 * A supervisor's report about a target of a divided pool, sent to the pool coordinator.
 *
 * @param pool name of the pool
 * @param target name of the target
 * @param token fencing token under which the sender supervises the target
 * @param condition condition of the target as the sender knows it
 * @param releasedVersion highest table version up to which the target has released every slice that it lost
 * @param requestsBySlice requests admitted since the last report, by slice
 */
public record TargetReport(
        String pool,
        String target,
        long token,
        TargetCondition condition,
        long releasedVersion,
        Map<Integer, Long> requestsBySlice)
        implements PeerMessage {}
