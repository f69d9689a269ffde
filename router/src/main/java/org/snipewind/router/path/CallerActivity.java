package org.snipewind.router.path;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.CallerLimits;

/** The times of a caller's connection, from which its timeouts follow. Confined to the connection's event loop. */
final class CallerActivity {

    /** Longest time that a caller's next request takes from a new connection or the last response to its arrival. */
    private static final long REQUEST_IN_TRANSIT_MILLIS = 200;

    /** Longest time for which the rest of a refused request is read, which covers the upload of some megabytes. */
    private static final long MAX_DISCARD_MILLIS = 5_000;

    private final MillisClock clock;

    /** Read by the acceptor if there are too many connections. */
    private volatile long lastActivityMillis;

    private int unwrittenBytes;

    /** Time at which the first bytes of an incomplete request arrived, -1 if there are none. */
    private long messageStartMillis = -1;

    /** Time until which the rest of a refused request is read and dropped, -1 before its response is written. */
    private long discardUntilMillis = -1;

    CallerActivity(MillisClock clock) {
        this.clock = clock;
        lastActivityMillis = clock.nowMillis();
    }

    long lastActivityMillis() {
        return lastActivityMillis;
    }

    /** Records that the caller or a response to it has made progress. */
    void progressed() {
        lastActivityMillis = clock.nowMillis();
    }

    /**
     * Records the arrival of bytes before they are decoded, so that the header timeout covers incomplete headers. Empty
     * lines between requests belong to none (RFC 9112, section 2.2).
     */
    void bytesReceived(ByteBuf bytes, boolean receivingBody) {
        boolean receiving = receivingBody || isReceivingMessage();
        if (!receiving && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0) {
            return;
        }
        progressed();
        if (messageStartMillis < 0) {
            messageStartMillis = lastActivityMillis;
        }
    }

    void messageEnded() {
        messageStartMillis = -1;
    }

    boolean isReceivingMessage() {
        return messageStartMillis >= 0;
    }

    /** Returns whether the head of a request has been incomplete for too long. */
    boolean isHeadLate(CallerLimits limits) {
        return clock.nowMillis() - messageStartMillis > limits.headerTimeoutMillis();
    }

    /** Returns whether no part of a body has arrived for too long. */
    boolean isBodyLate(CallerLimits limits) {
        return sinceActivityMillis() > limits.headerTimeoutMillis();
    }

    boolean isIdleTooLong(CallerLimits limits) {
        return sinceActivityMillis() > limits.idleTimeoutMillis();
    }

    /** Returns whether no request can be on its way to this instance. */
    boolean isQuiet() {
        return sinceActivityMillis() >= REQUEST_IN_TRANSIT_MILLIS;
    }

    private long sinceActivityMillis() {
        return clock.nowMillis() - lastActivityMillis;
    }

    void responseStarted(int bytes) {
        unwrittenBytes = bytes;
    }

    /** Returns whether the caller has not taken any part of the response for the idle timeout. */
    boolean isWriteStalled(int nowUnwrittenBytes, CallerLimits limits) {
        if (nowUnwrittenBytes != unwrittenBytes) {
            unwrittenBytes = nowUnwrittenBytes;
            progressed();
        }
        return isIdleTooLong(limits);
    }

    void discardStarted() {
        discardUntilMillis = clock.nowMillis() + MAX_DISCARD_MILLIS;
    }

    boolean isDiscarding() {
        return discardUntilMillis >= 0;
    }

    boolean isDiscardOver() {
        return clock.nowMillis() > discardUntilMillis;
    }
}
