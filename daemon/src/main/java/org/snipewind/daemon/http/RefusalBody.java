package org.snipewind.daemon.http;

import io.micronaut.serde.annotation.Serdeable;

/**
 * The JSON body of the response to a refused request.
 *
 * @param kind error kind
 * @param execution whether a target ran the request: not-run, ran or unknown
 * @param detail explanation for the caller
 */
@Serdeable
public record RefusalBody(String kind, String execution, String detail) {}
