package org.snipewind.protocol;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Converts messages to MessagePack arrays that start with a type number, and back. */
public final class MessageCodec {

    private static final Map<Integer, MessageLayout<?>> BY_TYPE =
            MessageLayouts.ALL.stream().collect(Collectors.toMap(MessageLayout::type, Function.identity()));
    private static final Map<Class<?>, MessageLayout<?>> BY_KIND =
            MessageLayouts.ALL.stream().collect(Collectors.toMap(MessageLayout::kind, Function.identity()));

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
     * Decodes a message strictly; fails with {@link FrameException} if anything is missing, wrong or left over.
     *
     * @param bytes a MessagePack array
     * @return the message
     */
    public static PeerMessage decode(byte[] bytes) {
        FieldReader in = new FieldReader("message", bytes, bytes.length);
        PeerMessage message = read(in);
        in.end();
        return message;
    }

    static void write(FieldWriter out, PeerMessage message) {
        BY_KIND.get(message.getClass()).write(out, message);
    }

    static PeerMessage read(FieldReader in) {
        int size = in.arrayHeader("fields");
        int type = in.integer("type");
        MessageLayout<?> layout = BY_TYPE.get(type);
        if (layout == null) {
            throw in.failure("type", "has the unknown value " + type);
        }
        in.enter(layout.name());
        if (size != layout.fieldCount() + 1) {
            throw in.failure("fields", "has " + size + " elements, not " + (layout.fieldCount() + 1));
        }
        return layout.reader().apply(in);
    }
}
