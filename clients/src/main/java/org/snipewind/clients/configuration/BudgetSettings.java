package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Limits of the rate and burst of requests across the whole fleet.
 *
 * @param rate maximum number of requests per second
 * @param burst maximum number of requests at once
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record BudgetSettings(double rate, int burst) {}
