package org.snipewind.protocol;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Authenticates the frames of one connection by HMAC tags over direction, sequence number and body, so that a frame can
 * be neither altered nor replayed. Not thread-safe.
 */
final class FrameAuthenticator {

    /** Length of a tag: half of the digest, the least that RFC 2104 recommends for a truncated HMAC. */
    static final int TAG_BYTES = 16;

    private static final byte FROM_CLIENT = 0;
    private static final byte FROM_SERVER = 1;

    private final Mac mac;
    private final byte sendDirection;
    private final byte receiveDirection;
    private long sendSequence;
    private long receiveSequence;

    FrameAuthenticator(byte[] sessionKey, boolean isClient) {
        this.mac = Handshake.mac(sessionKey);
        this.sendDirection = isClient ? FROM_CLIENT : FROM_SERVER;
        this.receiveDirection = isClient ? FROM_SERVER : FROM_CLIENT;
    }

    /** Returns the tag of the next frame to send and counts the frame. */
    byte[] nextTag(byte[] body) {
        return computeTag(sendDirection, sendSequence++, body, body.length);
    }

    /** Returns whether the tag at the end of the next received frame is valid, and counts the frame if so. */
    boolean verify(byte[] taggedBody) {
        int bodyLength = taggedBody.length - TAG_BYTES;
        if (bodyLength < 0) {
            return false;
        }
        byte[] expected = computeTag(receiveDirection, receiveSequence, taggedBody, bodyLength);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(taggedBody, bodyLength, taggedBody.length))) {
            return false;
        }
        receiveSequence++;
        return true;
    }

    private byte[] computeTag(byte direction, long sequence, byte[] body, int length) {
        mac.update(direction);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
        mac.update(body, 0, length);
        return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
    }
}
