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

/** Reads the fields of a frame or message in MessagePack; each failure names the message and the field. */
final class FieldReader {

    /** An operation that reads from the unpacker and may fail. */
    @FunctionalInterface
    interface ReadOperation<T> {
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

    /** Sets the name of the message that failures state. */
    void setContext(String newContext) {
        context = newContext;
    }

    FrameException failure(String field, String problem) {
        return new FrameException(context + "." + field + " " + problem);
    }

    int readArrayHeader(String field) {
        return readTyped(field, ValueType.ARRAY, () -> checkLength(field, unpacker.unpackArrayHeader(), 1));
    }

    long readLong(String field) {
        return readTyped(field, ValueType.INTEGER, unpacker::unpackLong);
    }

    int readInt(String field) {
        return readTyped(field, ValueType.INTEGER, unpacker::unpackInt);
    }

    double readDouble(String field) {
        return readTyped(field, ValueType.FLOAT, unpacker::unpackDouble);
    }

    boolean readBoolean(String field) {
        return readTyped(field, ValueType.BOOLEAN, unpacker::unpackBoolean);
    }

    byte[] readBytes(String field) {
        return readTyped(
                field,
                ValueType.BINARY,
                () -> unpacker.readPayload(checkLength(field, unpacker.unpackBinaryHeader(), 1)));
    }

    String readString(String field) {
        return readTyped(field, ValueType.STRING, () -> {
            byte[] encoded = unpacker.readPayload(checkLength(field, unpacker.unpackRawStringHeader(), 1));
            // This decoder rejects malformed input, which the String constructor would replace silently.
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(encoded))
                    .toString();
        });
    }

    <E extends Enum<E>> E readEnum(String field, Class<E> type) {
        String name = readString(field);
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            throw new FrameException(context + "." + field + " has an unknown value", e);
        }
    }

    <T> Optional<T> readOptional(String field, Supplier<T> valueReader) {
        boolean absent = wrapFailures(field, () -> unpacker.hasNext() && unpacker.tryUnpackNil());
        return absent ? Optional.empty() : Optional.of(valueReader.get());
    }

    <T> List<T> readList(String field, Supplier<T> elementReader) {
        int size = readArrayHeader(field);
        List<T> elements = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            elements.add(elementReader.get());
        }
        return Collections.unmodifiableList(elements);
    }

    <K, V> Map<K, V> readMap(String field, Supplier<K> keyReader, Supplier<V> valueReader) {
        int size = readTyped(field, ValueType.MAP, () -> checkLength(field, unpacker.unpackMapHeader(), 2));
        Map<K, V> entries = new LinkedHashMap<>();
        for (int index = 0; index < size; index++) {
            if (entries.put(keyReader.get(), valueReader.get()) != null) {
                throw failure(field, "has a key twice");
            }
        }
        return Collections.unmodifiableMap(entries);
    }

    Map<String, List<String>> readHeaders(String field) {
        return readMap(field, () -> readString(field), () -> readList(field, () -> readString(field)));
    }

    void requireEnd() {
        if (remainingBytes() != 0) {
            throw failure("end", "is followed by " + remainingBytes() + " bytes");
        }
    }

    private long remainingBytes() {
        return length - unpacker.getTotalReadBytes();
    }

    // Rejects a length that the rest of the frame can't contain, before anything of that size is allocated.
    private int checkLength(String field, int count, int minBytesPerElement) {
        if (count < 0 || (long) count * minBytesPerElement > remainingBytes()) {
            throw failure(field, "states a length of " + count + " that exceeds the frame");
        }
        return count;
    }

    private <T> T readTyped(String field, ValueType expected, ReadOperation<T> operation) {
        return wrapFailures(field, () -> {
            if (!unpacker.hasNext()) {
                throw failure(field, "is missing");
            }
            ValueType actual = unpacker.getNextFormat().getValueType();
            if (actual != expected) {
                throw failure(field, "is " + actual + ", not " + expected);
            }
            return operation.read();
        });
    }

    private <T> T wrapFailures(String field, ReadOperation<T> operation) {
        try {
            return operation.read();
        } catch (IOException | MessagePackException e) {
            throw new FrameException(context + "." + field + " is malformed", e);
        }
    }
}
