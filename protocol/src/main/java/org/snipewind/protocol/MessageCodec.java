package org.snipewind.protocol;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Converts messages to MessagePack arrays that start with a type number, and back. */
public final class MessageCodec {

    private static final Map<Integer, MessageLayout<?>> BY_TYPE_NUMBER =
            MessageLayouts.ALL.stream().collect(Collectors.toMap(MessageLayout::typeNumber, Function.identity()));
    private static final Map<Class<?>, MessageLayout<?>> BY_MESSAGE_CLASS =
            MessageLayouts.ALL.stream().collect(Collectors.toMap(MessageLayout::messageClass, Function.identity()));

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its MessagePack array
     */
    public static byte[] encode(PeerMessage message) {
        FieldWriter out = new FieldWriter();
        write(out, message);
        return out.toByteArray();
    }

    /**
     * Decodes a message. Fails with {@link FrameException} if a field is missing or malformed, or bytes are left over.
     *
     * @param bytes a MessagePack array
     * @return the message
     */
    public static PeerMessage decode(byte[] bytes) {
        FieldReader in = new FieldReader("message", bytes, bytes.length);
        PeerMessage message = read(in);
        in.requireEnd();
        return message;
    }

    static void write(FieldWriter out, PeerMessage message) {
        BY_MESSAGE_CLASS.get(message.getClass()).write(out, message);
    }

    static PeerMessage read(FieldReader in) {
        int size = in.readArrayHeader("fields");
        int type = in.readInt("type");
        MessageLayout<?> layout = BY_TYPE_NUMBER.get(type);
        if (layout == null) {
            throw in.failure("type", "has the unknown value " + type);
        }
        in.setContext(layout.messageName());
        if (size != layout.fieldCount() + 1) {
            throw in.failure("fields", "has " + size + " elements, not " + (layout.fieldCount() + 1));
        }
        return layout.reader().apply(in);
    }
}
