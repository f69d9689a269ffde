package org.snipewind.coordination.rollout;

/**
 * What was observed of the responses of a version.
 *
 * @param requests number of requests that ended with a response or without one
 * @param bad number of those that failed
 * @param timed number of responses whose service time was measured
 * @param serviceMillis sum of the measured service times
 */
public record VersionTally(long requests, long bad, long timed, double serviceMillis) {

    /** No observation. */
    public static final VersionTally NONE = new VersionTally(0, 0, 0, 0);

    /**
     * Adds other observations.
     *
     * @param other the observations
     * @return the sum
     */
    public VersionTally plus(VersionTally other) {
        return new VersionTally(
                requests + other.requests, bad + other.bad, timed + other.timed, serviceMillis + other.serviceMillis);
    }

    /**
     * Subtracts earlier observations.
     *
     * @param earlier observations that are included in these
     * @return the later ones; none are negative, since the report of an instance that has left is no longer included
     */
    public VersionTally minus(VersionTally earlier) {
        return new VersionTally(
                Math.max(0, requests - earlier.requests),
                Math.max(0, bad - earlier.bad),
                Math.max(0, timed - earlier.timed),
                Math.max(0, serviceMillis - earlier.serviceMillis));
    }

    /**
     * Returns the mean service time.
     *
     * @return milliseconds, 0 if none was measured
     */
    public double meanMillis() {
        return timed == 0 ? 0 : serviceMillis / timed;
    }
}
