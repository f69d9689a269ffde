package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Settings of a data centre.
 *
 * @param region region of the data centre
 * @param inService whether its targets may receive new requests
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record DataCentreSettings(String region, boolean inService) {}
