package org.snipewind.protocol;

import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * The wire layout of one kind of message.
 *
 * @param type number of the kind, never reused
 * @param kind class of the message
 * @param fieldCount number of fields after the type number
 * @param writer writes the fields
 * @param reader reads the fields in the same order
 */
record MessageLayout<M extends PeerMessage>(
        int type, Class<M> kind, int fieldCount, BiConsumer<FieldWriter, M> writer, Function<FieldReader, M> reader) {

    String name() {
        return kind.getSimpleName();
    }

    void write(FieldWriter target, PeerMessage message) {
        target.arrayHeader(fieldCount + 1).number(type);
        writer.accept(target, kind.cast(message));
    }
}
