package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Rate and burst over the whole fleet.
 *
 * @param rate requests per second
 * @param burst requests that may come at once
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record BudgetSettings(double rate, int burst) {}
