package org.snipewind.router.state;

/**
 * The instance that leads.
 *
 * @param member the instance
 * @param lease lease with whose end it stops to lead
 * @param revision revision of the item
 */
public record LeaderRecord(MemberRecord member, long lease, long revision) {}
