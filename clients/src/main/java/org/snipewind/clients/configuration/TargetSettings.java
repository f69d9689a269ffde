package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Settings of a target.
 *
 * @param address host and port of its HTTP endpoint
 * @param dataCentre data centre in which it runs
 * @param drained whether it receives no new requests
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record TargetSettings(String address, String dataCentre, boolean drained) {}
