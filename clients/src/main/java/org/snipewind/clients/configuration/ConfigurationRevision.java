package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * An accepted revision of the configuration, as stored.
 *
 * @param revision number of the revision, which increases by one with each accepted change
 * @param author who made the change
 * @param note description of the change
 * @param writer unique id of the write, which shows after a lost response whether the write took effect
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
