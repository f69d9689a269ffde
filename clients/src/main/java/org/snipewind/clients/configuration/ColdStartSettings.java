package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Concurrency limits of a target in cold start.
 *
 * @param concurrency initial limit of concurrent requests
 * @param answersPerStep number of successful responses after which the limit is raised by one
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record ColdStartSettings(int concurrency, int answersPerStep) {}
