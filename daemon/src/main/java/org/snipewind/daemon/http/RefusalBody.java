package org.snipewind.daemon.http;

import io.micronaut.serde.annotation.Serdeable;

/**
 * The body of a refusal.
 *
 * @param kind error kind
 * @param execution whether the request ran: not-run, ran or unknown
 * @param detail a sentence for the caller
 */
@Serdeable
public record RefusalBody(String kind, String execution, String detail) {}
