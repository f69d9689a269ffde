package org.snipewind.router.path;

import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.memory.ClientMemory;

/**
 * What the connections of callers may take of the process, besides the memory on the heap for bodies of requests and
 * responses.
 *
 * @param memory account of what the connections hold on the heap
 * @param largeBodies memory outside the heap for bodies that the heap can't hold
 * @param maxConnections open connections of callers
 */
public record ClientResources(ClientMemory memory, BufferMemory largeBodies, int maxConnections) {

    /** Size up to which the body of a request is received at once, however many large ones wait. */
    public static final int SMALL_REQUEST_BYTES = 32 * 1024;

    /** Fraction of the heap for heads, undecoded bytes, requests sent ahead and small responses. */
    private static final double ACCOUNT_FRACTION = 1.0 / 8;

    /** Heap for which one connection is allowed; a connection without a request takes about a third of it. */
    private static final int HEAP_BYTES_PER_CONNECTION = 16 * 1024;

    /** Fraction of the file descriptors for callers; the rest is for targets, the store and other instances. */
    private static final double DESCRIPTOR_FRACTION = 0.5;

    /**
     * Memory of the process that is neither heap nor large bodies: an instance that has served for some time took 75 MB
     * for classes, compiled code, threads and buffers of the Java runtime.
     */
    private static final long RUNTIME_BYTES = 96L * 1024 * 1024;

    /**
     * Fraction of the Java runtime's limit on memory outside the heap, which is as large as the heap, for bodies; it
     * also covers the buffers for reading and writing.
     */
    private static final double DIRECT_MEMORY_FRACTION = 0.8;

    /**
     * Derives the limits from what the process has.
     *
     * @param processBytes memory of the process
     * @param heapBytes largest size of the heap
     * @param descriptors largest number of open file descriptors
     * @return the limits
     */
    public static ClientResources of(long processBytes, long heapBytes, long descriptors) {
        long spareBytes = Math.max(0, processBytes - heapBytes - RUNTIME_BYTES);
        long largeBytes = Math.min(spareBytes, (long) (heapBytes * DIRECT_MEMORY_FRACTION));
        long connections = Math.min((long) (descriptors * DESCRIPTOR_FRACTION), heapBytes / HEAP_BYTES_PER_CONNECTION);
        return new ClientResources(
                new ClientMemory((long) (heapBytes * ACCOUNT_FRACTION)), new BufferMemory(largeBytes, 0), (int)
                        Math.min(Integer.MAX_VALUE, connections));
    }
}
