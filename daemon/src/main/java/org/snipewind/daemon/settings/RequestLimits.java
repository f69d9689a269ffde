package org.snipewind.daemon.settings;

/**
 * Limits that bound the memory use of the daemon.
 *
 * @param connections maximum number of open connections of callers
 * @param requests maximum number of callers' requests in progress
 * @param bytes maximum size of all request bodies in progress, in bytes
 * @param bodyBytes maximum size of one request body in bytes
 * @param queueEntries maximum number of requests that wait for one target
 * @param queueBytes maximum size of all request bodies that wait for one target, in bytes
 */
public record RequestLimits(
        int connections, int requests, long bytes, int bodyBytes, int queueEntries, long queueBytes) {

    /** Limits that keep a daemon below 300 MB of request data. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(10_000, 20_000, 256L << 20, 1 << 20, 2_000, 32L << 20);
}
