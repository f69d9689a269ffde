package org.snipewind.clients.status;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Requests of an organisation at one entry daemon since its start.
 *
 * @param name name of the organisation
 * @param admitted requests that were admitted
 * @param refused requests that were refused
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record OrganisationStatus(String name, long admitted, long refused) {}
