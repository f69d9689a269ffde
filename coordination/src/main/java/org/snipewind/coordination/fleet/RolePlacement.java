package org.snipewind.coordination.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Assigns roles to members by rendezvous hashing with bounded loads. */
public final class RolePlacement {

    private RolePlacement() {}

    /**
     * Chooses the member for a role: below the load cap, then in the region, then outside the avoided data centre.
     *
     * @param record the fleet
     * @param requirement the role to assign; its present assignment is not counted
     * @return the chosen member, or empty if the fleet has no members
     */
    public static Optional<Member> choose(FleetRecord record, RoleRequirement requirement) {
        Map<String, RoleAssignment> otherAssignments = new HashMap<>(record.roles());
        otherAssignments.remove(requirement.role());
        return new RoleLoads(record.members(), otherAssignments.values(), 1).choose(requirement, "");
    }

    /**
     * Lists the roles that a member should hand over.
     *
     * <p>A role is handed over only to a member below the load cap, either because its holder is above the cap or
     * because the other member has a better location. Each handover therefore reduces the total excess over the cap, or
     * keeps it and improves the location, so a sequence of handovers ends.
     *
     * @param record the fleet
     * @param memberId id of the member
     * @param requirements requirements by role name
     * @return role names in ascending order
     */
    public static Set<String> rolesToHandOver(
            FleetRecord record, String memberId, Map<String, RoleRequirement> requirements) {
        Set<String> handedOver = new TreeSet<>();
        Optional<Member> member = record.member(memberId);
        if (member.isEmpty()) {
            return handedOver;
        }
        RoleLoads loads = new RoleLoads(record.members(), record.roles().values(), 0);
        for (String role : inHandoverOrder(member.get(), record.rolesOf(memberId), requirements)) {
            RoleRequirement requirement = requirementOrDefault(role, requirements);
            Optional<Member> newHolder = loads.chooseBelowCap(requirement, memberId);
            boolean hasBetterLocation = newHolder
                    .filter(candidate -> RoleLoads.locationPenalty(candidate, requirement)
                            < RoleLoads.locationPenalty(member.get(), requirement))
                    .isPresent();
            if (hasBetterLocation || (newHolder.isPresent() && loads.isAboveCap(memberId))) {
                loads.move(memberId, newHolder.get().id());
                handedOver.add(role);
            }
        }
        return Collections.unmodifiableSet(handedOver);
    }

    /** Orders roles so that {@link #rolesToHandOver} and the handover that follows make the same choices. */
    static List<String> inHandoverOrder(
            Member holder, Collection<String> roles, Map<String, RoleRequirement> requirements) {
        return roles.stream()
                .sorted(Comparator.comparing((String role) ->
                                -RoleLoads.locationPenalty(holder, requirementOrDefault(role, requirements)))
                        .thenComparing(role -> -RoleLoads.hashScore(role, holder.id()))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    // A daemon with an older configuration may not know a role. If the role is obsolete, its holder drops it.
    static RoleRequirement requirementOrDefault(String role, Map<String, RoleRequirement> requirements) {
        RoleRequirement requirement = requirements.get(role);
        return requirement == null ? RoleRequirement.anywhere(role) : requirement;
    }
}
