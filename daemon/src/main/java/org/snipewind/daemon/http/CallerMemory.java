package org.snipewind.daemon.http;

import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.memory.ClientMemory;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * The memory that the connections to this daemon may take, and the limits that follow from it.
 *
 * @param account memory of all connections
 * @param maxBodyBytes size of the largest body that is received whole
 * @param clock the clock
 * @param metrics metrics of the daemon
 */
public record CallerMemory(ClientMemory account, int maxBodyBytes, MillisClock clock, ProcessMetrics metrics) {

    /** Fraction of the heap for requests that are incomplete and responses that are not taken. */
    private static final double HEAP_FRACTION = 1.0 / 8;

    /**
     * Derives the budget from the heap.
     *
     * @param heapBytes largest size of the heap
     * @param maxBodyBytes size of the largest body that is received whole
     * @param clock the clock
     * @param metrics metrics of the daemon
     * @return the memory, of which nothing is in use
     */
    public static CallerMemory of(long heapBytes, int maxBodyBytes, MillisClock clock, ProcessMetrics metrics) {
        ClientMemory account = new ClientMemory((long) (heapBytes * HEAP_FRACTION));
        metrics.gauge("entry.held-bytes", account::heldBytes);
        return new CallerMemory(account, maxBodyBytes, clock, metrics);
    }
}
