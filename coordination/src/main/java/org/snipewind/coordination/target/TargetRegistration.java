package org.snipewind.coordination.target;

/**
 * What a target writes about itself in the store.
 *
 * @param id id of the target
 * @param startedAtMillis start of the process in milliseconds since the Unix epoch, 0 if unknown; a new value with the
 *     same id means that the process was restarted
 * @param sequence number of this registration; among those with the same start, a lower number is older
 * @param pool name of the pool
 * @param host IP address
 * @param port TCP port
 * @param dataCentre name of its data centre
 * @param slots number of requests that it runs concurrently
 * @param draining whether it is about to leave
 * @param coldStartRemainingMillis remaining time of its cold start when it wrote the registration, 0 if not in cold
 *     start
 * @param version version of the program that it runs
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
        long coldStartRemainingMillis,
        String version) {

    private static final String UNNAMED_VERSION = "unnamed";

    /**
     * Creates the registration of a target in a pool where all targets run the same version.
     *
     * @param id id of the target
     * @param startedAtMillis start of the process
     * @param sequence number of this registration
     * @param pool name of the pool
     * @param host IP address
     * @param port TCP port
     * @param dataCentre name of its data centre
     * @param slots number of requests that it runs concurrently
     * @param draining whether it is about to leave
     * @param coldStartRemainingMillis remaining time of its cold start
     */
    public TargetRegistration(
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
        this(
                id,
                startedAtMillis,
                sequence,
                pool,
                host,
                port,
                dataCentre,
                slots,
                draining,
                coldStartRemainingMillis,
                UNNAMED_VERSION);
    }

    /**
     * Returns whether this registration is newer than another one with the same id.
     *
     * @param other the other registration
     * @return true if the other one is from an earlier process or was written earlier by the same process
     */
    public boolean isNewerThan(TargetRegistration other) {
        return startedAtMillis > other.startedAtMillis
                || startedAtMillis == other.startedAtMillis && sequence > other.sequence;
    }

    /**
     * Returns the incarnation of the target. A restarted process is a new incarnation, which holds no keys.
     *
     * @return the id and the start time of the process
     */
    public String incarnation() {
        return id + "@" + startedAtMillis;
    }

    /**
     * Returns the id of the target of an incarnation.
     *
     * @param incarnation the incarnation
     * @return the id
     */
    static String idOf(String incarnation) {
        return incarnation.substring(0, incarnation.lastIndexOf('@'));
    }

    /**
     * Returns the start of the process of an incarnation.
     *
     * @param incarnation the incarnation
     * @return milliseconds since the Unix epoch, 0 if unknown
     */
    static long startOf(String incarnation) {
        return Long.parseLong(incarnation.substring(incarnation.lastIndexOf('@') + 1));
    }

    /**
     * Returns whether the start of the process is known, so that a restart can be told from an earlier registration.
     *
     * @return false if the target did not write it
     */
    public boolean hasStartTime() {
        return startedAtMillis > 0;
    }
}
