package org.snipewind.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Reads the fields of one frame or message and names the field in every failure. */
final class FieldReader {

    /** A step that reads from the unpacker. */
    @FunctionalInterface
    interface Step<T> {
        T read() throws IOException;
    }

    private final MessageUnpacker unpacker;
    private final int length;
    private String context;

    FieldReader(String context, byte[] bytes, int length) {
        this.context = context;
        this.length = length;
        this.unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length);
    }

    /** Sets the message kind that failures name. */
    void enter(String newContext) {
        context = newContext;
    }

    FrameException failure(String field, String problem) {
        return new FrameException(context + "." + field + " " + problem);
    }

    int arrayHeader(String field) {
        return value(field, ValueType.ARRAY, () -> bounded(field, unpacker.unpackArrayHeader(), 1));
    }

    long number(String field) {
        return value(field, ValueType.INTEGER, unpacker::unpackLong);
    }

    int integer(String field) {
        return value(field, ValueType.INTEGER, unpacker::unpackInt);
    }

    double real(String field) {
        return value(field, ValueType.FLOAT, unpacker::unpackDouble);
    }

    boolean flag(String field) {
        return value(field, ValueType.BOOLEAN, unpacker::unpackBoolean);
    }

    byte[] bytes(String field) {
        return value(
                field, ValueType.BINARY, () -> unpacker.readPayload(bounded(field, unpacker.unpackBinaryHeader(), 1)));
    }

    String text(String field) {
        return value(field, ValueType.STRING, () -> {
            byte[] encoded = unpacker.readPayload(bounded(field, unpacker.unpackRawStringHeader(), 1));
            // A new decoder reports malformed input, while the String constructor would replace it silently.
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(encoded))
                    .toString();
        });
    }

    <E extends Enum<E>> E constant(String field, Class<E> type) {
        String name = text(field);
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            throw new FrameException(context + "." + field + " has an unknown value", e);
        }
    }

    <T> Optional<T> optional(String field, Supplier<T> present) {
        boolean absent = guarded(field, () -> unpacker.hasNext() && unpacker.tryUnpackNil());
        return absent ? Optional.empty() : Optional.of(present.get());
    }

    <T> List<T> list(String field, Supplier<T> element) {
        int size = arrayHeader(field);
        List<T> elements = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            elements.add(element.get());
        }
        return Collections.unmodifiableList(elements);
    }

    <K, V> Map<K, V> map(String field, Supplier<K> key, Supplier<V> value) {
        int size = value(field, ValueType.MAP, () -> bounded(field, unpacker.unpackMapHeader(), 2));
        Map<K, V> entries = new LinkedHashMap<>();
        for (int index = 0; index < size; index++) {
            if (entries.put(key.get(), value.get()) != null) {
                throw failure(field, "has a key twice");
            }
        }
        return Collections.unmodifiableMap(entries);
    }

    Map<String, List<String>> headers(String field) {
        return map(field, () -> text(field), () -> list(field, () -> text(field)));
    }

    void end() {
        if (remaining() != 0) {
            throw failure("end", "is followed by " + remaining() + " bytes");
        }
    }

    private long remaining() {
        return length - unpacker.getTotalReadBytes();
    }

    // A length that the frame can't contain is refused before anything of that size is allocated.
    private int bounded(String field, int count, int bytesEach) {
        if (count < 0 || (long) count * bytesEach > remaining()) {
            throw failure(field, "states a length of " + count + " that exceeds the frame");
        }
        return count;
    }

    private <T> T value(String field, ValueType expected, Step<T> step) {
        return guarded(field, () -> {
            if (!unpacker.hasNext()) {
                throw failure(field, "is missing");
            }
            ValueType actual = unpacker.getNextFormat().getValueType();
            if (actual != expected) {
                throw failure(field, "is " + actual + ", not " + expected);
            }
            return step.read();
        });
    }

    private <T> T guarded(String field, Step<T> step) {
        try {
            return step.read();
        } catch (IOException | MessagePackException e) {
            throw new FrameException(context + "." + field + " is malformed", e);
        }
    }
}
