package org.snipewind.coordination.routing;

/**
 * Limits on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes most bytes of request line and headers
 * @param maxBodyBytes most bytes of a request body
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of its headers
 * @param idleTimeoutMillis longest time that a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits that apply while no configuration is in force. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 20, 5_000, 15_000);
}
