package org.snipewind.router.peer;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.router.port.StoreItem;

/** Converts between items of the store and items of peer messages, in which large values are compressed. */
final class MirrorItemConverter {

    /** Smaller values would hardly become shorter. */
    private static final int MIN_COMPRESSED_BYTES = 1_024;

    /** Largest value that is accepted, well above the largest value that the store takes. */
    private static final int MAX_VALUE_BYTES = 8 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16 * 1024;

    private MirrorItemConverter() {}

    static MirrorAnswer.Item toMessage(StoreItem item) {
        boolean compressed = item.value().length >= MIN_COMPRESSED_BYTES;
        return new MirrorAnswer.Item(
                item.key(),
                item.revision(),
                item.lease(),
                compressed,
                compressed ? compress(item.value()) : item.value());
    }

    /** Converts an item of a message; fails with {@link IllegalArgumentException} if its value can't be expanded. */
    static StoreItem toStoreItem(MirrorAnswer.Item item) {
        return new StoreItem(
                item.key(), item.compressed() ? expand(item) : item.value(), item.revision(), item.lease());
    }

    private static byte[] compress(byte[] value) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(value);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(value.length / 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] expand(MirrorAnswer.Item item) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(item.value());
            ByteArrayOutputStream out = new ByteArrayOutputStream(item.value().length * 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 && !inflater.finished() || out.size() + length > MAX_VALUE_BYTES) {
                    throw new IllegalArgumentException(
                            "value of " + item.key() + " is truncated or exceeds " + MAX_VALUE_BYTES + " bytes");
                }
                out.write(buffer, 0, length);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("value of " + item.key() + " is not a compressed value", e);
        } finally {
            inflater.end();
        }
    }
}
