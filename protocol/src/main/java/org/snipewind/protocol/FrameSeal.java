package org.snipewind.protocol;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/** Authenticates the frames of one connection by session key, direction and sequence number; not thread-safe. */
final class FrameSeal {

    /** Length of a tag; RFC 2104 advises at least half of the digest. */
    static final int TAG_BYTES = 16;

    private static final byte FROM_CLIENT = 0;
    private static final byte FROM_SERVER = 1;

    private final Mac mac;
    private final byte sendDirection;
    private final byte receiveDirection;
    private long sendSequence;
    private long receiveSequence;

    FrameSeal(byte[] sessionKey, boolean client) {
        this.mac = Handshake.mac(sessionKey);
        this.sendDirection = client ? FROM_CLIENT : FROM_SERVER;
        this.receiveDirection = client ? FROM_SERVER : FROM_CLIENT;
    }

    /** Computes the tag of the next frame to send. */
    byte[] seal(byte[] body) {
        return tag(sendDirection, sendSequence++, body, body.length);
    }

    /** Checks the tag at the end of the next received frame and counts the frame if the tag is right. */
    boolean open(byte[] sealed) {
        int length = sealed.length - TAG_BYTES;
        if (length < 0) {
            return false;
        }
        byte[] expected = tag(receiveDirection, receiveSequence, sealed, length);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(sealed, length, sealed.length))) {
            return false;
        }
        receiveSequence++;
        return true;
    }

    private byte[] tag(byte direction, long sequence, byte[] body, int length) {
        mac.update(direction);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
        mac.update(body, 0, length);
        return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
    }
}
