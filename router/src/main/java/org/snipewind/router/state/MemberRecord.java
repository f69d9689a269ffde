package org.snipewind.router.state;

import org.snipewind.coordination.election.CandidatePriority;

/**
 * An instance of the router.
 *
 * @param name name of the instance
 * @param bootId id of the running process
 * @param peerAddress address for other instances
 * @param dataCentre its data centre
 * @param capacity how much work of a leader it can carry, see {@link CandidatePriority#capacity}
 */
public record MemberRecord(String name, String bootId, String peerAddress, String dataCentre, double capacity) {

    /** Separates the name of an instance from its boot in the id of a process. */
    private static final String BOOT_SEPARATOR = "#";

    /**
     * Names the running process.
     *
     * @return name and boot
     */
    public String processId() {
        return name + BOOT_SEPARATOR + bootId;
    }

    /**
     * Tells whether a record is of the same running process.
     *
     * @param other the other record
     * @return true if both were written by one process
     */
    public boolean isSameProcess(MemberRecord other) {
        return bootId.equals(other.bootId);
    }
}
