package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Settings of an organisation.
 *
 * @param budget limits of the rate and burst of its requests across the whole fleet
 * @param weight share of a target at its concurrency limit, relative to other organisations; at least 1
 * @param keys SHA-256 digests of the organisation's keys in lower-case hexadecimal, by key name
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record OrganisationSettings(BudgetSettings budget, int weight, Map<String, String> keys) {

    /** Copies the keys, sorted by name. */
    public OrganisationSettings {
        keys = Collections.unmodifiableMap(new TreeMap<>(keys));
    }
}
