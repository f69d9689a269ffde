package org.snipewind.router.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetState;

/**
 * What an instance knows of the fleet at a moment; immutable but for the states of the targets.
 *
 * @param configuration the configuration in force, empty before the first
 * @param targets all targets that are listed, by id
 * @param inService targets that may get requests, by pool
 * @param evacuatedDataCentres data centres that are to get no work
 * @param members all instances of the router, by name
 * @param keyTables tables of key holders, by pool
 * @param leader the instance that leads
 * @param fleetSize largest number of instances in the recent past
 */
public record FleetView(
        Optional<RoutingConfiguration> configuration,
        Map<String, TargetState> targets,
        Map<String, List<TargetState>> inService,
        Set<String> evacuatedDataCentres,
        Map<String, MemberRecord> members,
        Map<String, KeyTable> keyTables,
        Optional<LeaderRecord> leader,
        int fleetSize) {

    /** The view of an instance that knows nothing yet. */
    public static final FleetView EMPTY =
            new FleetView(Optional.empty(), Map.of(), Map.of(), Set.of(), Map.of(), Map.of(), Optional.empty(), 1);

    /**
     * Finds a target by the life that the table of holders names.
     *
     * @param life life of the target
     * @return its state if that life may get requests
     */
    public Optional<TargetState> findInService(String life) {
        int at = life.lastIndexOf('@');
        TargetState state = targets.get(at < 0 ? life : life.substring(0, at));
        if (state == null || !state.registration().incarnation().equals(life)) {
            return Optional.empty();
        }
        return inService.getOrDefault(state.registration().pool(), List.of()).contains(state)
                ? Optional.of(state)
                : Optional.empty();
    }
}
