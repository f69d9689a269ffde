package org.snipewind.router.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Limits the memory for bodies of requests, or of responses, that are being received, held or written, in bytes over
 * all connections. Thread-safe: the counts are guarded by the monitor of this object, and callbacks run without it.
 */
public final class BufferMemory {

    /** Responses up to this size never wait, so that large responses can't delay small ones. */
    public static final int SMALL_BYTES = 64 * 1024;

    private final long maxBytes;
    private final long smallBytes;
    private final Deque<Reservation> waiting = new ArrayDeque<>();
    private long reservedBytes;

    /**
     * Creates a limit for responses.
     *
     * @param maxBytes bytes that all responses together may take before large ones wait
     */
    public BufferMemory(long maxBytes) {
        this(maxBytes, SMALL_BYTES);
    }

    /**
     * Creates a limit.
     *
     * @param maxBytes bytes that all bodies together may take before large ones wait
     * @param smallBytes size up to which a body never waits
     */
    public BufferMemory(long maxBytes, long smallBytes) {
        this.maxBytes = maxBytes;
        this.smallBytes = smallBytes;
    }

    /**
     * Returns whether a body of the given size could be held if there were no others.
     *
     * @param bytes size of the body
     * @return false if the body would wait without end
     */
    public boolean mayHold(long bytes) {
        return bytes <= Math.max(maxBytes, smallBytes);
    }

    /**
     * Returns the limit.
     *
     * @return bytes that all bodies together may take before large ones wait
     */
    public long maxBytes() {
        return maxBytes;
    }

    /**
     * Starts a reservation for one body.
     *
     * @return a reservation of no bytes, which must be released
     */
    public Reservation open() {
        return new Reservation();
    }

    /**
     * Returns whether bodies wait for memory, so that further large ones could only wait as well.
     *
     * @return true if at least one body waits
     */
    public synchronized boolean isExhausted() {
        return !waiting.isEmpty();
    }

    /**
     * Returns the memory in use.
     *
     * @return reserved bytes
     */
    public synchronized long reservedBytes() {
        return reservedBytes;
    }

    /** The share of one body. */
    public final class Reservation {
        private long heldBytes;
        private long awaitedBytes;
        private Runnable onGranted = () -> {};
        private boolean released;

        private Reservation() {}

        /**
         * Reserves more bytes. A small body gets them at once. Otherwise, if they are not available, they are reserved
         * in the order of the calls as other bodies are released.
         *
         * @param bytes number of bytes
         * @param granted called on the thread that releases another body if the bytes are reserved only later
         * @return whether the bytes are reserved now
         */
        public boolean extend(long bytes, Runnable granted) {
            synchronized (BufferMemory.this) {
                boolean small = heldBytes + bytes <= smallBytes;
                if (small || waiting.isEmpty() && reservedBytes + bytes <= maxBytes) {
                    hold(bytes);
                    return true;
                }
                if (awaitedBytes == 0) {
                    waiting.addLast(this);
                }
                awaitedBytes += bytes;
                onGranted = granted;
                return false;
            }
        }

        private void hold(long bytes) {
            heldBytes += bytes;
            reservedBytes += bytes;
        }

        /**
         * Takes the awaited bytes without waiting any longer, because they have been received already. The limit may be
         * exceeded by the size of a receive buffer.
         */
        public void takeAwaited() {
            synchronized (BufferMemory.this) {
                if (awaitedBytes > 0) {
                    waiting.remove(this);
                    hold(awaitedBytes);
                    awaitedBytes = 0;
                }
            }
        }

        /** Releases all bytes; later calls have no effect. */
        public void release() {
            List<Runnable> callbacks;
            synchronized (BufferMemory.this) {
                if (released) {
                    return;
                }
                released = true;
                waiting.remove(this);
                reservedBytes -= heldBytes;
                callbacks = grantWaiting();
            }
            callbacks.forEach(Runnable::run);
        }
    }

    private List<Runnable> grantWaiting() {
        List<Runnable> callbacks = new ArrayList<>();
        while (!waiting.isEmpty() && reservedBytes + waiting.peekFirst().awaitedBytes <= maxBytes) {
            Reservation first = waiting.pollFirst();
            first.hold(first.awaitedBytes);
            first.awaitedBytes = 0;
            callbacks.add(first.onGranted);
        }
        return callbacks;
    }
}
