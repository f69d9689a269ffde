package org.snipewind.router.state;

import org.snipewind.coordination.election.CandidatePriority;

/**
 * An instance of the router.
 *
 * @param name name of the instance
 * @param bootId random id of the running process
 * @param peerAddress address for connections from other instances
 * @param dataCentre name of its data centre
 * @param capacity capacity for the work of a leader, see {@link CandidatePriority#capacity}
 */
public record MemberRecord(String name, String bootId, String peerAddress, String dataCentre, double capacity) {

    /** Separates the name of an instance from its boot id in a process id. */
    private static final String BOOT_SEPARATOR = "#";

    /**
     * Returns the id of the running process.
     *
     * @return name and boot id of the instance
     */
    public String processId() {
        return name + BOOT_SEPARATOR + bootId;
    }

    /**
     * Returns the name of the instance in the id of a process.
     *
     * @param processId id of a running process, see {@link #processId()}
     * @return the name
     */
    public static String nameOf(String processId) {
        int separator = processId.indexOf(BOOT_SEPARATOR);
        return separator < 0 ? processId : processId.substring(0, separator);
    }

    /**
     * Returns whether another record describes the same running process.
     *
     * @param other the other record
     * @return true if both have the same boot id
     */
    public boolean isSameProcess(MemberRecord other) {
        return bootId.equals(other.bootId);
    }
}
