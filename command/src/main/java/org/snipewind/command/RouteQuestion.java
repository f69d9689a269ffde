package org.snipewind.command;

import java.util.List;
import java.util.Optional;

/**
 * A request of which an operator asks where it would be sent.
 *
 * @param host host of the request
 * @param path path of the request
 * @param method HTTP method
 * @param headers headers, each as a name, a colon and a value
 * @param key key that determines the owner
 * @param json whether the answer should be JSON
 */
record RouteQuestion(
        String host, String path, String method, List<String> headers, Optional<String> key, boolean json) {

    /** Makes an immutable copy of the headers. */
    RouteQuestion {
        headers = List.copyOf(headers);
    }
}
