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

/** Places roles by rendezvous hashing with bounded loads. */
public final class RolePlacement {

    private RolePlacement() {}

    /**
     * Chooses the member for a role: below the cap of load, then in the region, then outside the avoided data centre.
     *
     * @param record the fleet
     * @param requirement the role to place; an assignment of it in the record is not counted
     * @return the chosen member, or empty if the fleet has no members
     */
    public static Optional<Member> choose(FleetRecord record, RoleRequirement requirement) {
        Map<String, RoleAssignment> others = new HashMap<>(record.roles());
        others.remove(requirement.role());
        return new RoleLoads(record.members(), others.values(), 1).choose(requirement, "");
    }

    /**
     * Lists the roles that a member should hand over.
     *
     * <p>A role is handed over only to a member with room, either because the member holds more than the cap or because
     * the other member fits the role better. Each hand-over therefore lowers the total above the cap, or leaves it and
     * improves the fit, so a sequence of them ends.
     *
     * @param record the fleet
     * @param memberId id of the member
     * @param requirements requirements by role name
     * @return role names in ascending order
     */
    public static Set<String> rolesToHandOver(
            FleetRecord record, String memberId, Map<String, RoleRequirement> requirements) {
        Set<String> surplus = new TreeSet<>();
        Optional<Member> member = record.member(memberId);
        if (member.isEmpty()) {
            return surplus;
        }
        RoleLoads loads = new RoleLoads(record.members(), record.roles().values(), 0);
        for (String role : handOverOrder(member.get(), record.rolesOf(memberId), requirements)) {
            RoleRequirement requirement = requirementOf(role, requirements);
            Optional<Member> other = loads.chooseWithRoom(requirement, memberId);
            boolean fitsBetter = other.filter(candidate ->
                            RoleLoads.rank(candidate, requirement) < RoleLoads.rank(member.get(), requirement))
                    .isPresent();
            if (fitsBetter || (other.isPresent() && loads.isAboveCap(memberId))) {
                loads.move(memberId, other.get().id());
                surplus.add(role);
            }
        }
        return Collections.unmodifiableSet(surplus);
    }

    /** Orders roles so that surplus and the hand-over that follows it make the same choices. */
    static List<String> handOverOrder(
            Member holder, Collection<String> roles, Map<String, RoleRequirement> requirements) {
        return roles.stream()
                .sorted(Comparator.comparing(
                                (String role) -> -RoleLoads.rank(holder, requirementOf(role, requirements)))
                        .thenComparing(role -> -RoleLoads.score(role, holder.id()))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    // A daemon with an older configuration may not know a role; its holder drops the role if it is obsolete.
    static RoleRequirement requirementOf(String role, Map<String, RoleRequirement> requirements) {
        RoleRequirement requirement = requirements.get(role);
        return requirement == null ? RoleRequirement.anywhere(role) : requirement;
    }
}
