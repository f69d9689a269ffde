package org.snipewind.standins.server;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A request to a stand-in.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param uri path and query
 * @param parameters first value of each query parameter by name
 * @param headers all values of each header by name
 * @param body complete body
 * @param connection connection on which the request arrived
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandInRequest(
        String method,
        String path,
        String uri,
        Map<String, String> parameters,
        Map<String, List<String>> headers,
        byte[] body,
        StandInConnection connection) {

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

    /**
     * Returns a query parameter as a number.
     *
     * @param name name of the parameter
     * @return the number, or empty if the parameter is absent
     * @throws NumberFormatException if the value is not an integer
     */
    public Optional<Long> longParameter(String name) {
        return Optional.ofNullable(parameters.get(name)).map(Long::valueOf);
    }

    /**
     * Returns whether the request has the given method and path.
     *
     * @param expectedMethod HTTP method
     * @param expectedPath path without the query
     * @return true if both are equal
     */
    public boolean matches(String expectedMethod, String expectedPath) {
        return method.equals(expectedMethod) && path.equals(expectedPath);
    }
}
