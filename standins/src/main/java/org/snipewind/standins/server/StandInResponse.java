package org.snipewind.standins.server;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.snipewind.clients.transport.JsonCodec;

/**
 * A response of a stand-in.
 *
 * @param status HTTP status
 * @param headers headers by name
 * @param body complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandInResponse(int status, Map<String, String> headers, byte[] body) {

    private static final String CONTENT_TYPE = "Content-Type";

    /**
     * Creates a response without a body.
     *
     * @param status HTTP status
     * @return the response
     */
    public static StandInResponse empty(int status) {
        return new StandInResponse(status, Map.of(), new byte[0]);
    }

    /**
     * Creates a JSON response with the status 200.
     *
     * @param value value to encode as JSON
     * @return the response
     */
    public static StandInResponse json(Object value) {
        return new StandInResponse(200, Map.of(CONTENT_TYPE, "application/json"), JsonCodec.encode(value));
    }

    /**
     * Creates a plain-text response.
     *
     * @param status HTTP status
     * @param text the body
     * @return the response
     */
    public static StandInResponse text(int status, String text) {
        return new StandInResponse(
                status, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"), text.getBytes(StandardCharsets.UTF_8));
    }
}
