package org.snipewind.protocol;

/**
 * The body of a frame after the handshake.
 *
 * @param kind role of the frame in an exchange of messages
 * @param number number of the call; the answer repeats it
 * @param senderId member id of the sender, different for each incarnation
 * @param message the message
 */
record Frame(FrameKind kind, long number, String senderId, PeerMessage message) {

    /** Version of the wire format. Frames and handshakes of any other version are rejected. */
    static final int VERSION = 1;

    /** Longest body with its authentication tag; several times the size of a 1 MiB request body with headers. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    byte[] encode() {
        FieldWriter out = new FieldWriter();
        out.writeArrayHeader(5)
                .writeLong(VERSION)
                .writeLong(kind.code())
                .writeLong(number)
                .writeString(senderId);
        MessageCodec.write(out, message);
        byte[] body = out.toByteArray();
        if (body.length > MAX_BYTES - FrameAuthenticator.TAG_BYTES) {
            throw new FrameException(
                    message.getClass().getSimpleName() + " has " + body.length + " bytes, more than fit into a frame");
        }
        return body;
    }

    static Frame decode(byte[] bytes, int length) {
        FieldReader in = new FieldReader("frame", bytes, length);
        if (in.readArrayHeader("fields") != 5) {
            throw in.failure("fields", "does not have 5 elements");
        }
        int version = in.readInt("version");
        if (version != VERSION) {
            throw in.failure("version", "is " + version + ", not " + VERSION);
        }
        int code = in.readInt("kind");
        FrameKind kind = FrameKind.ofCode(code).orElseThrow(() -> in.failure("kind", "has the unknown value " + code));
        long number = in.readLong("number");
        String senderId = in.readString("senderId");
        PeerMessage message = MessageCodec.read(in);
        in.requireEnd();
        return new Frame(kind, number, senderId, message);
    }

    /** Returns whether a message carries, answers or cancels a forwarded request. */
    static boolean isForwarding(PeerMessage message) {
        return message instanceof ForwardRequest
                || message instanceof ForwardAnswer
                || message instanceof CancelRequest;
    }
}
