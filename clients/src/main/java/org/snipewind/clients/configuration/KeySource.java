package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Location of the key in a request.
 *
 * @param kind part of the request
 * @param name name of the header or query parameter, or number of the path segment counted from 1
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record KeySource(Kind kind, String name) {

    /** Part of a request that can hold the key. */
    public enum Kind {
        /** A header, by name. */
        HEADER,
        /** A path segment, by number from 1. */
        PATH,
        /** A query parameter, by name. */
        QUERY
    }
}
