package org.snipewind.router.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetState;

/**
 * A view of the fleet as an instance knows it at one time; immutable except for the states of the targets.
 *
 * @param configuration the configuration in force, empty before the first one is read
 * @param targets all registered targets, by id
 * @param inService targets that may get requests, by pool
 * @param evacuatedDataCentres data centres whose targets get no requests
 * @param members all instances of the router, by name
 * @param keyTables key tables, by pool
 * @param leader the leader, empty if there is none
 * @param fleetSize number of instances seen in the recent past, at least 1
 * @param rollouts roll-outs, by pool
 */
public record FleetView(
        Optional<RoutingConfiguration> configuration,
        Map<String, TargetState> targets,
        Map<String, List<TargetState>> inService,
        Set<String> evacuatedDataCentres,
        Map<String, MemberRecord> members,
        Map<String, KeyTable> keyTables,
        Optional<LeaderRecord> leader,
        int fleetSize,
        Map<String, PoolRollout> rollouts) {

    /** The view before any item is read from the store. */
    public static final FleetView EMPTY =
            new FleetView(Optional.empty(), Map.of(), Map.of(), Set.of(), Map.of(), Map.of(), Optional.empty(), 1);

    /**
     * Creates a view without roll-outs.
     *
     * @param configuration the configuration in force
     * @param targets all registered targets, by id
     * @param inService targets that may get requests, by pool
     * @param evacuatedDataCentres data centres whose targets get no requests
     * @param members all instances of the router, by name
     * @param keyTables key tables, by pool
     * @param leader the leader
     * @param fleetSize number of instances seen in the recent past
     */
    public FleetView(
            Optional<RoutingConfiguration> configuration,
            Map<String, TargetState> targets,
            Map<String, List<TargetState>> inService,
            Set<String> evacuatedDataCentres,
            Map<String, MemberRecord> members,
            Map<String, KeyTable> keyTables,
            Optional<LeaderRecord> leader,
            int fleetSize) {
        this(configuration, targets, inService, evacuatedDataCentres, members, keyTables, leader, fleetSize, Map.of());
    }

    /**
     * Finds a target in service by its incarnation, as key tables contain it.
     *
     * @param incarnation the incarnation of the target
     * @return its state, or empty if that incarnation may not get requests
     */
    public Optional<TargetState> findInService(String incarnation) {
        return findRegistered(incarnation)
                .filter(state -> inService
                        .getOrDefault(state.registration().pool(), List.of())
                        .contains(state));
    }

    /**
     * Finds a target by its incarnation, whether or not it may get requests.
     *
     * @param incarnation the incarnation of the target
     * @return its state, or empty if that incarnation has no entry in the store
     */
    public Optional<TargetState> findRegistered(String incarnation) {
        int separatorIndex = incarnation.lastIndexOf('@');
        String id = separatorIndex < 0 ? incarnation : incarnation.substring(0, separatorIndex);
        return Optional.ofNullable(targets.get(id))
                .filter(state -> state.registration().incarnation().equals(incarnation));
    }
}
