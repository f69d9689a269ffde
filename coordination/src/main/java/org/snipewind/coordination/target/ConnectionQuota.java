package org.snipewind.coordination.target;

/** An instance's part of the connections that a target accepts from all instances together. */
public final class ConnectionQuota {

    /** Part of a target's connections that requests use; the leader's orders and uneven shares need the rest. */
    private static final double REQUEST_PART = 0.8;

    private ConnectionQuota() {}

    /**
     * Works out the part. A target resets connections beyond its limit together with the requests on them, so the parts
     * of all instances stay within the limit as long as there is one connection for each instance.
     *
     * @param maxConnections connections that a target accepts
     * @param fleetSize largest number of instances that may be running
     * @return most connections of one instance to one target, at least 1
     */
    public static int limit(int maxConnections, int fleetSize) {
        return Math.max(1, (int) (maxConnections * REQUEST_PART / Math.max(1, fleetSize)));
    }
}
