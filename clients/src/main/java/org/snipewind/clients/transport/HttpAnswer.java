package org.snipewind.clients.transport;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A whole HTTP answer.
 *
 * @param status HTTP status
 * @param headers headers in the order of their first appearance, with all values
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpAnswer(int status, Map<String, List<String>> headers, byte[] body) {

    /**
     * Finds the first value of a header.
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
