package org.snipewind.protocol;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one frame or message; the methods return this writer so that fields can be chained. */
final class FieldWriter {

    /** A step that writes to the packer. */
    @FunctionalInterface
    private interface Step {
        void write() throws IOException;
    }

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    FieldWriter arrayHeader(int size) {
        return guarded(() -> packer.packArrayHeader(size));
    }

    FieldWriter number(long value) {
        return guarded(() -> packer.packLong(value));
    }

    FieldWriter real(double value) {
        return guarded(() -> packer.packDouble(value));
    }

    FieldWriter flag(boolean value) {
        return guarded(() -> packer.packBoolean(value));
    }

    FieldWriter text(String value) {
        return guarded(() -> packer.packString(value));
    }

    FieldWriter bytes(byte[] value) {
        return guarded(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    <T> FieldWriter optional(Optional<T> value, Consumer<T> present) {
        if (value.isEmpty()) {
            return guarded(packer::packNil);
        }
        present.accept(value.get());
        return this;
    }

    <T> FieldWriter list(List<T> elements, Consumer<T> element) {
        arrayHeader(elements.size());
        elements.forEach(element);
        return this;
    }

    <K, V> FieldWriter map(Map<K, V> entries, Consumer<K> key, Consumer<V> value) {
        guarded(() -> packer.packMapHeader(entries.size()));
        entries.forEach((entryKey, entryValue) -> {
            key.accept(entryKey);
            value.accept(entryValue);
        });
        return this;
    }

    FieldWriter headers(Map<String, List<String>> headers) {
        return map(headers, this::text, values -> list(values, this::text));
    }

    byte[] toByteArray() {
        return packer.toByteArray();
    }

    private FieldWriter guarded(Step step) {
        try {
            step.write();
            return this;
        } catch (IOException e) {
            throw new FrameException("message can't be encoded", e);
        }
    }
}
