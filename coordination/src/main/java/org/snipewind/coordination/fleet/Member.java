package org.snipewind.coordination.fleet;

import java.util.List;

/**
 * One daemon of the fleet in one incarnation: a daemon that joins again is another member.
 *
 * @param id instance name and incarnation, never used again
 * @param region the region of the daemon's data centre
 * @param dataCentre the data centre in which the daemon runs
 * @param peerAddress host and port for frames between daemons
 * @param operatorAddress host and port of the HTTP endpoints for operators
 * @param leaseGroup ids of the members that acknowledge this member's lease
 */
public record Member(
        String id,
        String region,
        String dataCentre,
        String peerAddress,
        String operatorAddress,
        List<String> leaseGroup) {

    /** Makes the lease group immutable. */
    public Member {
        leaseGroup = List.copyOf(leaseGroup);
    }

    /**
     * Returns a copy with another lease group.
     *
     * @param group ids of the new lease group
     * @return a member that differs only in its lease group
     */
    public Member withLeaseGroup(List<String> group) {
        return new Member(id, region, dataCentre, peerAddress, operatorAddress, group);
    }
}
