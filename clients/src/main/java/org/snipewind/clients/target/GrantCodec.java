package org.snipewind.clients.target;

import io.micronaut.serde.annotation.SerdeImport;
import org.snipewind.clients.transport.JsonCodec;

/** Encodes grant requests and their acknowledgements as JSON. */
@SerdeImport(GrantRequest.class)
@SerdeImport(GrantAcknowledgement.class)
public final class GrantCodec {

    private GrantCodec() {}

    /**
     * Encodes a grant request or an acknowledgement.
     *
     * @param message a {@link GrantRequest} or a {@link GrantAcknowledgement}
     * @return JSON in UTF-8
     */
    public static byte[] encode(Record message) {
        return JsonCodec.encode(message);
    }

    /**
     * Decodes a grant request or an acknowledgement.
     *
     * @param <T> type of the message
     * @param content JSON in UTF-8
     * @param type {@link GrantRequest} or {@link GrantAcknowledgement}
     * @return the message
     * @throws java.io.UncheckedIOException if the content is not a message of the type
     */
    public static <T extends Record> T decode(byte[] content, Class<T> type) {
        return JsonCodec.decode(content, type);
    }
}
