package org.snipewind.clients.configuration;

import io.micronaut.serde.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

/** Converts configurations and their revisions to and from the JSON that is stored. */
public final class ConfigurationCodec {

    private static final ObjectMapper MAPPER = ObjectMapper.getDefault();

    private ConfigurationCodec() {}

    /**
     * Encodes a configuration; equal configurations give equal bytes.
     *
     * @param configuration the configuration
     * @return JSON with sorted names
     */
    public static byte[] encode(FleetConfiguration configuration) {
        return write(configuration);
    }

    /**
     * Encodes a revision; equal revisions give equal bytes.
     *
     * @param revision the revision
     * @return JSON with sorted names
     */
    public static byte[] encode(ConfigurationRevision revision) {
        return write(revision);
    }

    /**
     * Decodes a configuration.
     *
     * @param content JSON from {@link #encode(FleetConfiguration)}
     * @return the configuration, or the reason why the content is not one
     */
    public static Either<String, FleetConfiguration> decodeConfiguration(byte[] content) {
        return read(content, FleetConfiguration.class);
    }

    /**
     * Decodes a revision.
     *
     * @param content JSON from {@link #encode(ConfigurationRevision)}
     * @return the revision, or the reason why the content is not one
     */
    public static Either<String, ConfigurationRevision> decodeRevision(byte[] content) {
        return read(content, ConfigurationRevision.class);
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot encode a configuration", failure);
        }
    }

    private static <T> Either<String, T> read(byte[] content, Class<T> type) {
        T value;
        try {
            value = MAPPER.readValue(content, type);
        } catch (IOException | RuntimeException failure) {
            return Either.left("not a " + type.getSimpleName() + ": " + failure.getMessage());
        }
        // The mapper ignores unknown fields and sets absent numbers to 0. The content therefore has exactly the known
        // fields only if the decoded value encodes to the same bytes.
        if (value == null || !Arrays.equals(content, write(value))) {
            return Either.left("not a " + type.getSimpleName() + ": unknown, missing or repeated fields");
        }
        return Either.right(value);
    }
}
