package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.memory.ConnectionMemory;

/**
 * Receives the bodies of a connection's requests one after the other, as far as there is memory for them. Confined to
 * the event loop of the connection.
 */
final class BodyReceiver {

    /** Longest wait of a body for memory; the caller then has time left to send the request to another instance. */
    private static final long MAX_MEMORY_WAIT_MILLIS = 200;

    /** The connection that the bodies arrive on. */
    interface Connection {

        /** Reading from the connection is to pause or to go on. */
        void readingChanged();

        /** The body can be received from now on. */
        void bodyAllowed();

        /** There is no memory for the body; the request is to be refused. */
        void bodyRefused(String reason);
    }

    private final Worker worker;
    private final BufferMemory memory;
    private final BufferMemory largeMemory;
    private final ConnectionMemory connectionMemory;
    private final Connection connection;
    private RequestBody body = RequestBody.empty();

    /** Refuses the body if it still waits for memory then; empty if it doesn't wait. */
    private Optional<Future<?>> memoryTimeout = Optional.empty();

    BodyReceiver(Worker worker, ConnectionMemory connectionMemory, Connection connection) {
        this.worker = worker;
        this.memory = worker.context().requestMemory();
        this.largeMemory = worker.context().clients().largeBodies();
        this.connectionMemory = connectionMemory;
        this.connection = connection;
    }

    /** Returns whether the body waits for memory, so that nothing is to be read from the connection. */
    boolean isWaiting() {
        return memoryTimeout.isPresent();
    }

    /** Returns the number of bytes received of the current body. */
    int length() {
        return body.length();
    }

    /** Returns the memory of the current body as far as the budgets for bodies don't limit it. */
    long smallBytes() {
        return Math.min(body.heldBytes(), ClientResources.SMALL_REQUEST_BYTES);
    }

    /**
     * Starts to receive a body. The memory for all of it is reserved before its first byte is read, as bodies that are
     * received in part would otherwise wait for each other.
     *
     * @param announcedBytes length of the body, -1 if it was not announced and memory is reserved as it arrives
     */
    void start(long announcedBytes) {
        body = RequestBody.receive(memory, largeMemory, announcedBytes);
        if (!memory.mayHold(announcedBytes) && !largeMemory.mayHold(announcedBytes)) {
            connection.bodyRefused("body exceeds the memory for all bodies");
        } else if (announcedBytes <= 0 || waitUnless(body.reserveAnnounced(this::memoryGranted))) {
            connection.bodyAllowed();
        }
    }

    /** Adds bytes that were received, also while the body waits for memory. */
    void append(ByteBuf received) {
        if (!body.isLengthAnnounced()) {
            waitUnless(body.reserve(received.readableBytes(), this::memoryGranted));
        }
        body.append(received);
        connectionMemory.bodyReceived(body.heldBytes(), worker.context().clock().nowMillis());
    }

    /** Unless memory was reserved, pauses reading until it is, or the request is refused. */
    private boolean waitUnless(boolean reserved) {
        if (reserved) {
            return true;
        }
        if (!isWaiting()) {
            worker.context().metrics().count("bodies.waited");
            if (worker.context()
                    .clients()
                    .memory()
                    .closeStalledBody(worker.context().clock().nowMillis())) {
                worker.context().metrics().count("clients.closed.stalled-body");
            }
            memoryTimeout = Optional.of(worker.loop()
                    .schedule(
                            () -> connection.bodyRefused("other bodies take the memory"),
                            MAX_MEMORY_WAIT_MILLIS,
                            TimeUnit.MILLISECONDS));
            connection.readingChanged();
        }
        return false;
    }

    /** Called on any thread. */
    private void memoryGranted(RequestBody granted) {
        worker.loop().execute(() -> {
            if (body == granted && isWaiting()) {
                endWait();
                connection.bodyAllowed();
            }
        });
    }

    private void endWait() {
        if (isWaiting()) {
            memoryTimeout.get().cancel(false);
            memoryTimeout = Optional.empty();
            connection.readingChanged();
        }
    }

    /** Returns the body after its last byte was received; it is released by the receiver of the request. */
    RequestBody finish() {
        endWait();
        RequestBody finished = body;
        finished.complete();
        forgetBody();
        return finished;
    }

    /** Drops the body that is being received, if there is one, and releases its memory. */
    void drop() {
        endWait();
        body.release();
        forgetBody();
    }

    private void forgetBody() {
        body = RequestBody.empty();
        connectionMemory.bodyReceived(0, worker.context().clock().nowMillis());
    }
}
