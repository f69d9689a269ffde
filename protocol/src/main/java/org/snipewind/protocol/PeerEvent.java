package org.snipewind.protocol;

import java.util.Locale;

/** The closed list of events that the connections count. */
public enum PeerEvent {
    /** An answer came after the timeout of its call and was dropped. */
    LATE_ANSWER,
    /** An answer to a number that is not in use was dropped. */
    UNKNOWN_ANSWER,
    /** A frame stated a length above the limit. */
    FRAME_OVERSIZED,
    /** A connection ended in the middle of a frame. */
    FRAME_TRUNCATED,
    /** An authenticated frame could not be decoded or was out of place. */
    FRAME_MALFORMED,
    /** A frame came before the handshake, or its tag was wrong. */
    FRAME_UNAUTHENTICATED,
    /** A connection ended before both sides had proved the secret. */
    HANDSHAKE_FAILED,
    /** An accepted connection was closed because too many others were not yet authenticated. */
    HANDSHAKE_LIMIT,
    /** A connection could not be opened. */
    CONNECT_FAILED,
    /** An authenticated connection ended without being closed by this side. */
    CONNECTION_LOST,
    /** A message was refused because too many bytes wait to be sent. */
    SEND_LIMIT,
    /** The handler failed or gave an answer that can't be encoded. */
    HANDLER_FAILED,
    /** Frames sent after the handshake. */
    FRAMES_SENT,
    /** Frames received and decoded after the handshake. */
    FRAMES_RECEIVED,
    /** Bytes of handshakes and of frames that forward no request, with length and tag, without TLS and TCP. */
    BYTES_SENT_CONTROL,
    /** Bytes of frames that carry, answer or cancel a forwarded request. */
    BYTES_SENT_FORWARDING,
    /** Received bytes of handshakes and of frames that forward no request. */
    BYTES_RECEIVED_CONTROL,
    /** Received bytes of frames that carry, answer or cancel a forwarded request. */
    BYTES_RECEIVED_FORWARDING;

    /**
     * Gives the form used in metric names.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
