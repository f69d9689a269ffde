package org.snipewind.protocol;

import java.util.Locale;

/** Events on connections to and from peers that are counted. */
public enum PeerEvent {
    /** An answer arrived after its call had timed out and was dropped. */
    LATE_ANSWER,
    /** An answer arrived whose number belongs to no call and was dropped. */
    UNKNOWN_ANSWER,
    /** The length prefix of a frame was above the limit. */
    FRAME_OVERSIZED,
    /** A connection ended in the middle of a frame. */
    FRAME_TRUNCATED,
    /** An authenticated frame could not be decoded or was not allowed in that direction. */
    FRAME_MALFORMED,
    /** A frame arrived before the handshake, or its authentication tag was wrong. */
    FRAME_UNAUTHENTICATED,
    /** A connection ended before both sides had authenticated each other. */
    HANDSHAKE_FAILED,
    /** An accepted connection was closed because too many others were still unauthenticated. */
    HANDSHAKE_LIMIT,
    /** A connection could not be opened. */
    CONNECT_FAILED,
    /** An authenticated connection ended that this side had not closed. */
    CONNECTION_LOST,
    /** A message was not sent because too many bytes were waiting to be sent. */
    SEND_LIMIT,
    /** The message handler failed or returned an answer that can't be encoded. */
    HANDLER_FAILED,
    /** Frames sent after the handshake. */
    FRAMES_SENT,
    /** Frames received and decoded after the handshake. */
    FRAMES_RECEIVED,
    /**
     * Bytes sent in handshakes and in frames that are not part of forwarding a request. As in all byte counts, length
     * prefixes and authentication tags are included, TLS and TCP overhead is not.
     */
    BYTES_SENT_CONTROL,
    /** Bytes sent in frames that carry, answer or cancel a forwarded request. */
    BYTES_SENT_FORWARDING,
    /** Bytes received in handshakes and in frames that are not part of forwarding a request. */
    BYTES_RECEIVED_CONTROL,
    /** Bytes received in frames that carry, answer or cancel a forwarded request. */
    BYTES_RECEIVED_FORWARDING;

    /**
     * Returns the form used in metric names.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
