package org.snipewind.router.state;

/**
 * The current leader.
 *
 * @param member the instance that leads
 * @param leaseId id of its lease; its term ends before the lease does
 * @param revision store revision of the leader item
 */
public record LeaderRecord(MemberRecord member, long leaseId, long revision) {}
