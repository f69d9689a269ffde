package org.snipewind.daemon.settings;

/**
 * Limits that bound the memory of the daemon.
 *
 * @param connections open connections of callers
 * @param requests requests of callers in progress
 * @param bytes bytes of request bodies in progress
 * @param bodyBytes bytes of one request body
 * @param queueEntries requests that wait for one target
 * @param queueBytes bytes of bodies that wait for one target
 */
public record RequestLimits(
        int connections, int requests, long bytes, int bodyBytes, int queueEntries, long queueBytes) {

    /** Limits that keep a daemon below 300 MB of request data. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(10_000, 20_000, 256L << 20, 1 << 20, 2_000, 32L << 20);
}
