package org.snipewind.standins.server;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.snipewind.clients.transport.JsonCodec;

/**
 * An answer of a stand-in.
 *
 * @param status HTTP status
 * @param headers headers by name
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandInResponse(int status, Map<String, String> headers, byte[] body) {

    private static final String CONTENT_TYPE = "Content-Type";

    /**
     * Creates an answer without a body.
     *
     * @param status HTTP status
     * @return the answer
     */
    public static StandInResponse empty(int status) {
        return new StandInResponse(status, Map.of(), new byte[0]);
    }

    /**
     * Creates a successful JSON answer.
     *
     * @param value value that can be encoded
     * @return the answer
     */
    public static StandInResponse json(Object value) {
        return new StandInResponse(200, Map.of(CONTENT_TYPE, "application/json"), JsonCodec.encode(value));
    }

    /**
     * Creates an answer of plain text.
     *
     * @param status HTTP status
     * @param text the text
     * @return the answer
     */
    public static StandInResponse text(int status, String text) {
        return new StandInResponse(
                status, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"), text.getBytes(StandardCharsets.UTF_8));
    }
}
