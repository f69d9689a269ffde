package org.snipewind.daemon.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.fleet.RoleRequirement;
import org.snipewind.daemon.entry.BudgetNames;
import org.snipewind.daemon.record.RecordCache;

/** The roles that the current configuration requires, with their placement requirements. */
public final class RoleRequirements {

    private final RecordCache records;
    private volatile long revision = -1;
    private volatile Map<String, RoleRequirement> requirements = Map.of();

    /**
     * Creates requirements that follow the configuration.
     *
     * @param records records of this daemon
     */
    public RoleRequirements(RecordCache records) {
        this.records = records;
    }

    /**
     * Returns the required roles.
     *
     * @return requirements by role name; empty while no configuration is known
     */
    public Map<String, RoleRequirement> all() {
        records.configuration().ifPresent(current -> {
            if (current.revision() != revision) {
                requirements = build(current.configuration());
                revision = current.revision();
            }
        });
        return requirements;
    }

    private static Map<String, RoleRequirement> build(FleetConfiguration configuration) {
        Map<String, RoleRequirement> roles = new TreeMap<>();
        configuration.pools().forEach((name, pool) -> addPool(roles, configuration, name, pool));
        configuration.organisations().keySet().forEach(name -> add(roles, RoleNames.budget(name)));
        configuration.routes().forEach((name, route) -> {
            if (route.openBudget().isPresent()) {
                add(roles, RoleNames.budget(BudgetNames.ofRoute(name)));
            }
        });
        configuration.dataCentres().keySet().forEach(name -> add(roles, RoleNames.watch(name)));
        return Map.copyOf(roles);
    }

    private static void addPool(
            Map<String, RoleRequirement> roles, FleetConfiguration configuration, String name, PoolSettings pool) {
        if (pool.divided()) {
            add(roles, RoleNames.pool(name));
        }
        pool.targets().forEach((targetName, target) -> {
            String role = RoleNames.target(targetName);
            roles.put(role, targetRequirement(configuration, role, target));
        });
    }

    private static RoleRequirement targetRequirement(
            FleetConfiguration configuration, String role, TargetSettings target) {
        Optional<String> region = Optional.ofNullable(
                        configuration.dataCentres().get(target.dataCentre()))
                .map(DataCentreSettings::region);
        return new RoleRequirement(role, region, Optional.of(target.dataCentre()));
    }

    private static void add(Map<String, RoleRequirement> roles, String role) {
        roles.put(role, new RoleRequirement(role, Optional.empty(), Optional.empty()));
    }
}
