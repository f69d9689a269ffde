package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * One accepted revision of the configuration, as kept in the store.
 *
 * @param revision number that grows by one with each accepted change
 * @param author who made the change
 * @param note what the change was
 * @param writer unique id of the write, by which a lost answer is settled
 * @param acceptedAtEpochMillis wall-clock time of acceptance, for display only
 * @param configuration the merged configuration
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record ConfigurationRevision(
        long revision,
        String author,
        String note,
        String writer,
        long acceptedAtEpochMillis,
        FleetConfiguration configuration) {}
