package org.snipewind.router.state;

/**
 * The current leader.
 *
 * @param member the instance that leads
 * @param leaseId id of its lease; its term ends before the lease does
 * @param revision store revision of the leader item
 */
public record LeaderRecord(MemberRecord member, long leaseId, long revision) {

    /**
     * Returns whether another record describes the same term. The number of the lease alone does not tell, as a
     * restored store assigns the numbers again.
     *
     * @param other the other record
     * @return true if both name the same process and lease
     */
    public boolean isSameTerm(LeaderRecord other) {
        return leaseId == other.leaseId && member.isSameProcess(other.member);
    }
}
