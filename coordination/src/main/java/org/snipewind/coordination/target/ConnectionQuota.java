package org.snipewind.coordination.target;

/** An instance's quota of the connections that a target accepts from all instances together. */
public final class ConnectionQuota {

    /** Fraction of connections used for requests; the leader's ownership requests and uneven quotas need the rest. */
    private static final double REQUEST_FRACTION = 0.8;

    private ConnectionQuota() {}

    /**
     * Returns the maximum number of connections of one instance to one target.
     *
     * <p>A target resets connections beyond its limit, together with the requests on them. The quotas of all instances
     * therefore stay within the limit, provided that it allows at least one connection for each instance.
     *
     * @param maxConnections maximum number of connections that a target accepts
     * @param fleetSize maximum number of instances that may be running
     * @return the maximum number, at least 1
     */
    public static int limit(int maxConnections, int fleetSize) {
        return Math.max(1, (int) (maxConnections * REQUEST_FRACTION / Math.max(1, fleetSize)));
    }
}
