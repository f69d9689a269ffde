package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The operators' configuration of the fleet, merged and validated.
 *
 * @param dataCentres data centres by name
 * @param pools pools by name
 * @param routes routes by name
 * @param organisations organisations by name
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record FleetConfiguration(
        Map<String, DataCentreSettings> dataCentres,
        Map<String, PoolSettings> pools,
        Map<String, RouteSettings> routes,
        Map<String, OrganisationSettings> organisations) {

    /** Copies the maps, sorted by name. */
    public FleetConfiguration {
        dataCentres = Collections.unmodifiableMap(new TreeMap<>(dataCentres));
        pools = Collections.unmodifiableMap(new TreeMap<>(pools));
        routes = Collections.unmodifiableMap(new TreeMap<>(routes));
        organisations = Collections.unmodifiableMap(new TreeMap<>(organisations));
    }

    /**
     * Finds the pool of a target.
     *
     * @param target name of the target
     * @return name of its pool, or empty if no pool has the target
     */
    public Optional<String> poolOf(String target) {
        return pools.entrySet().stream()
                .filter(pool -> pool.getValue().targets().containsKey(target))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns whether a target may receive new requests.
     *
     * @param target settings of the target
     * @return true if it is not drained and its data centre is in service
     */
    public boolean isInService(TargetSettings target) {
        DataCentreSettings dataCentre = dataCentres.get(target.dataCentre());
        return !target.drained() && dataCentre != null && dataCentre.inService();
    }
}
