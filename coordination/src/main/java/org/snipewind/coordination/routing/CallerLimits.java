package org.snipewind.coordination.routing;

/**
 * Limits on the size of callers' requests and on the time callers may take to send them.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its headers
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits that apply while no configuration is in force. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 20, 5_000, 15_000);
}
