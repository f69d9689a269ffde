package org.snipewind.protocol;

/**
 * The body of a frame after the handshake.
 *
 * @param kind what the frame expects from its receiver
 * @param number request number, repeated by the answer
 * @param senderId member id of the sender, which contains its incarnation
 * @param message the message
 */
record Frame(FrameKind kind, long number, String senderId, PeerMessage message) {

    /** Version of the wire format; a daemon refuses frames and handshakes of any other version. */
    static final int VERSION = 1;

    /** Longest body with its tag; a 1 MiB request body with headers fits several times. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    byte[] encode() {
        FieldWriter out = new FieldWriter();
        out.arrayHeader(5).number(VERSION).number(kind.code()).number(number).text(senderId);
        MessageCodec.write(out, message);
        byte[] body = out.toByteArray();
        if (body.length > MAX_BYTES - FrameSeal.TAG_BYTES) {
            throw new FrameException(
                    message.getClass().getSimpleName() + " has " + body.length + " bytes, more than a frame may carry");
        }
        return body;
    }

    static Frame decode(byte[] bytes, int length) {
        FieldReader in = new FieldReader("frame", bytes, length);
        if (in.arrayHeader("fields") != 5) {
            throw in.failure("fields", "does not have 5 elements");
        }
        int version = in.integer("version");
        if (version != VERSION) {
            throw in.failure("version", "is " + version + ", not " + VERSION);
        }
        int code = in.integer("kind");
        FrameKind kind = FrameKind.ofCode(code).orElseThrow(() -> in.failure("kind", "has the unknown value " + code));
        long number = in.number("number");
        String senderId = in.text("senderId");
        PeerMessage message = MessageCodec.read(in);
        in.end();
        return new Frame(kind, number, senderId, message);
    }

    static boolean isForwarding(PeerMessage message) {
        return message instanceof ForwardRequest
                || message instanceof ForwardAnswer
                || message instanceof CancelRequest;
    }
}
