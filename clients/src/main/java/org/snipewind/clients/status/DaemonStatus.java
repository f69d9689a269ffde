package org.snipewind.clients.status;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;
import java.util.List;

/**
 * Response of a daemon to {@code GET /-/status}.
 *
 * @param id member id of the daemon
 * @param dataCentre data centre in which it runs
 * @param ready whether it accepts requests
 * @param configurationRevision revision of its current configuration, 0 for none
 * @param configurationAgeMillis milliseconds since it activated that revision
 * @param fleetEpoch epoch of its copy of the fleet record
 * @param leaseValid whether its member lease is valid
 * @param storeContactAgeMillis milliseconds since the latest contact with the store, its own or that of a peer
 * @param inFlight number of requests that it has accepted and not yet responded to
 * @param targets targets that it supervises
 * @param organisations organisations from which it has received requests
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record DaemonStatus(
        String id,
        String dataCentre,
        boolean ready,
        long configurationRevision,
        long configurationAgeMillis,
        long fleetEpoch,
        boolean leaseValid,
        long storeContactAgeMillis,
        long inFlight,
        List<TargetStatus> targets,
        List<OrganisationStatus> organisations) {

    /** Copies the lists; an absent list is empty. */
    public DaemonStatus {
        targets = targets == null ? List.of() : List.copyOf(targets);
        organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }
}
