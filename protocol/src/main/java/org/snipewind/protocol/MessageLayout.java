package org.snipewind.protocol;

import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * The wire layout of a message type.
 *
 * @param typeNumber number that identifies the message type on the wire, never reused
 * @param messageClass class of the message
 * @param fieldCount number of fields after the type number
 * @param writer writes the fields
 * @param reader reads the fields in the same order
 */
record MessageLayout<M extends PeerMessage>(
        int typeNumber,
        Class<M> messageClass,
        int fieldCount,
        BiConsumer<FieldWriter, M> writer,
        Function<FieldReader, M> reader) {

    String messageName() {
        return messageClass.getSimpleName();
    }

    void write(FieldWriter out, PeerMessage message) {
        out.writeArrayHeader(fieldCount + 1).writeLong(typeNumber);
        writer.accept(out, messageClass.cast(message));
    }
}
