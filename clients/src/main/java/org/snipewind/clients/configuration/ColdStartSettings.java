package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Limits of a target in cold start.
 *
 * @param concurrency requests that a cold target bears at a time
 * @param answersPerStep good answers after which it bears one more
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record ColdStartSettings(int concurrency, int answersPerStep) {}
