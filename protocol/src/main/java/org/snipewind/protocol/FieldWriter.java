package org.snipewind.protocol;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of a frame or message in MessagePack; the methods return this writer, so calls can be chained. */
final class FieldWriter {

    /** An operation that writes to the packer and may fail. */
    @FunctionalInterface
    private interface WriteOperation {
        void write() throws IOException;
    }

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    FieldWriter writeArrayHeader(int size) {
        return wrapFailures(() -> packer.packArrayHeader(size));
    }

    FieldWriter writeLong(long value) {
        return wrapFailures(() -> packer.packLong(value));
    }

    FieldWriter writeDouble(double value) {
        return wrapFailures(() -> packer.packDouble(value));
    }

    FieldWriter writeBoolean(boolean value) {
        return wrapFailures(() -> packer.packBoolean(value));
    }

    FieldWriter writeString(String value) {
        return wrapFailures(() -> packer.packString(value));
    }

    FieldWriter writeBytes(byte[] value) {
        return wrapFailures(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    <T> FieldWriter writeOptional(Optional<T> value, Consumer<T> valueWriter) {
        if (value.isEmpty()) {
            return wrapFailures(packer::packNil);
        }
        valueWriter.accept(value.get());
        return this;
    }

    <T> FieldWriter writeList(List<T> elements, Consumer<T> elementWriter) {
        writeArrayHeader(elements.size());
        elements.forEach(elementWriter);
        return this;
    }

    <K, V> FieldWriter writeMap(Map<K, V> entries, Consumer<K> keyWriter, Consumer<V> valueWriter) {
        wrapFailures(() -> packer.packMapHeader(entries.size()));
        entries.forEach((key, value) -> {
            keyWriter.accept(key);
            valueWriter.accept(value);
        });
        return this;
    }

    FieldWriter writeHeaders(Map<String, List<String>> headers) {
        return writeMap(headers, this::writeString, values -> writeList(values, this::writeString));
    }

    byte[] toByteArray() {
        return packer.toByteArray();
    }

    private FieldWriter wrapFailures(WriteOperation operation) {
        try {
            operation.write();
            return this;
        } catch (IOException e) {
            throw new FrameException("message can't be encoded", e);
        }
    }
}
