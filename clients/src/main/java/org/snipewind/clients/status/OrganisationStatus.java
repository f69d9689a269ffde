package org.snipewind.clients.status;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;

/**
 * Number of requests that one entry daemon has received from an organisation since the daemon's start.
 *
 * @param name name of the organisation
 * @param admitted number of requests that were admitted
 * @param refused number of requests that were refused
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record OrganisationStatus(String name, long admitted, long refused) {}
