package org.snipewind.clients.transport;

import io.micronaut.core.type.Argument;
import io.micronaut.serde.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/** Encodes values as JSON with Micronaut's serialization. */
public final class JsonCodec {

    // By default, empty strings and collections are omitted and would be decoded as null.
    private static final ObjectMapper MAPPER =
            ObjectMapper.create(Map.of("micronaut.serde.serialization.inclusion", "ALWAYS"));

    private JsonCodec() {}

    /**
     * Encodes a value.
     *
     * @param value a map, a list, or a value whose type has generated serialization
     * @return JSON in UTF-8
     */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a value as JSON", e);
        }
    }

    /**
     * Decodes a value.
     *
     * @param <T> type of the value
     * @param content JSON in UTF-8
     * @param type type of the value
     * @return the value
     * @throws UncheckedIOException if the content is not a value of the type
     */
    public static <T> T decode(byte[] content, Class<T> type) {
        return decode(content, Argument.of(type));
    }

    /**
     * Decodes a value of a generic type.
     *
     * @param <T> type of the value
     * @param content JSON in UTF-8
     * @param type type of the value
     * @return the value
     * @throws UncheckedIOException if the content is not a value of the type
     */
    public static <T> T decode(byte[] content, Argument<T> type) {
        try {
            T value = MAPPER.readValue(content, type);
            if (value != null) {
                return value;
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the content is not a JSON value of type " + type.getSimpleName(), e);
        }
        throw new UncheckedIOException(new IOException("the content is null instead of a " + type.getSimpleName()));
    }
}
