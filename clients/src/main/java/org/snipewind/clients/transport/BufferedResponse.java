package org.snipewind.clients.transport;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param headers all values of each header, in the order in which the headers were received
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(int status, Map<String, List<String>> headers, byte[] body) {

    /**
     * Returns the first value of a header.
     *
     * @param name name of the header in any case
     * @return the value, or empty if there is none
     */
    public Optional<String> header(String name) {
        return headers.entrySet().stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .flatMap(entry -> entry.getValue().stream())
                .findFirst();
    }
}
