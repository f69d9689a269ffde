package org.snipewind.coordination.target;

/**
 * What a target says of itself in the list of targets.
 *
 * @param id id of the running process
 * @param startedAtMillis Unix milliseconds of the start of the process; a new value under the same id is a new process
 * @param sequence number of the report; a lower one under the same start is older
 * @param pool name of the pool
 * @param host IP address
 * @param port TCP port
 * @param dataCentre name of its data centre
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave
 * @param coldStartRemainingMillis how much longer it was in cold start when it wrote the entry
 */
public record TargetRegistration(
        String id,
        long startedAtMillis,
        long sequence,
        String pool,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean draining,
        long coldStartRemainingMillis) {

    /**
     * Tells whether another entry under the same id is older than this one.
     *
     * @param other the other entry
     * @return true if it came from an earlier process or was written earlier
     */
    public boolean isNewerThan(TargetRegistration other) {
        return startedAtMillis > other.startedAtMillis
                || startedAtMillis == other.startedAtMillis && sequence > other.sequence;
    }

    /**
     * Names this life of the target: a process that starts again holds no keys.
     *
     * @return the id and the start of the process
     */
    public String incarnation() {
        return id + "@" + startedAtMillis;
    }
}
