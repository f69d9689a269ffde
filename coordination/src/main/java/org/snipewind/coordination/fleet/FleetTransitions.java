package org.snipewind.coordination.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.snipewind.coordination.lease.LeaseExpiryConfirmations;

/**
 * The transitions of the fleet record, as functions without side effects.
 *
 * <p>Each function returns the record to write by compare-and-swap, or empty if there is nothing to change or the
 * change is not allowed. A role that changes its holder gets the epoch of the write as its fencing token. Epochs only
 * increase, so tokens increase too when a role is dropped and assigned again.
 */
public final class FleetTransitions {

    private FleetTransitions() {}

    /**
     * Adds a member and selects its lease group.
     *
     * @param record the present record
     * @param member the member; its lease group is ignored
     * @param writer unique id of the write
     * @return the next record, or empty if the id is already present
     */
    public static Optional<FleetRecord> join(FleetRecord record, Member member, String writer) {
        if (record.members().containsKey(member.id())) {
            return Optional.empty();
        }
        Map<String, Member> members = new HashMap<>(record.members());
        members.put(member.id(), member);
        members.put(member.id(), member.withLeaseGroup(LeaseGroups.select(member.id(), members.values())));
        return nextRecord(record, writer, members, record.roles(), record.marks());
    }

    /**
     * Removes a member at its own request and assigns its roles to others; only the member itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member, which has stopped acting in its roles
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if the member is not present
     */
    public static Optional<FleetRecord> leave(
            FleetRecord record, String memberId, Map<String, RoleRequirement> requirements, String writer) {
        return record.member(memberId).flatMap(member -> removeMember(record, member, requirements, writer));
    }

    /**
     * Removes a member whose lease has certainly expired and assigns its roles to others.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param confirmations confirmations by the lease group that this record stores
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if the member is not present or the confirmations do not suffice
     */
    public static Optional<FleetRecord> remove(
            FleetRecord record,
            String memberId,
            LeaseExpiryConfirmations confirmations,
            Map<String, RoleRequirement> requirements,
            String writer) {
        return record.member(memberId)
                .filter(member -> confirmations.holder().equals(memberId)
                        && Set.copyOf(confirmations.group()).equals(Set.copyOf(member.leaseGroup()))
                        && confirmations.hasMajority())
                .flatMap(member -> removeMember(record, member, requirements, writer));
    }

    /**
     * Selects a new lease group if the present one contains former members, is smaller than possible, or has too many
     * members in one data centre; only the member itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param writer unique id of the write
     * @return the next record, or empty if the present group is adequate
     */
    public static Optional<FleetRecord> reselectLeaseGroup(FleetRecord record, String memberId, String writer) {
        Optional<Member> member = record.member(memberId);
        if (member.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Member> members = new HashMap<>(record.members());
        List<String> currentGroup = member.get().leaseGroup();
        List<String> selectedGroup = LeaseGroups.select(memberId, members.values());
        boolean isAdequate = members.keySet().containsAll(currentGroup)
                && currentGroup.size() >= selectedGroup.size()
                && LeaseGroups.maxMembersInOneDataCentre(currentGroup, members)
                        <= LeaseGroups.maxMembersInOneDataCentre(selectedGroup, members);
        if (isAdequate) {
            return Optional.empty();
        }
        members.put(memberId, member.get().withLeaseGroup(selectedGroup));
        return nextRecord(record, writer, members, record.roles(), record.marks());
    }

    /**
     * Hands roles of a member over to others; only the member itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member, which has stopped acting in the roles
     * @param roles names of the roles; those that the member does not hold are ignored
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if the member holds none of the roles or is alone
     */
    public static Optional<FleetRecord> handOver(
            FleetRecord record,
            String memberId,
            Set<String> roles,
            Map<String, RoleRequirement> requirements,
            String writer) {
        Optional<Member> member = record.member(memberId);
        Set<String> heldRoles = heldRoles(record, memberId, roles);
        if (member.isEmpty() || heldRoles.isEmpty() || record.members().size() == 1) {
            return Optional.empty();
        }
        List<String> orderedRoles = RolePlacement.inHandoverOrder(member.get(), heldRoles, requirements);
        return nextRecord(
                record,
                writer,
                record.members(),
                assign(record, record.members(), orderedRoles, requirements, memberId),
                record.marks());
    }

    /**
     * Assigns the required roles that no member holds.
     *
     * @param record the present record
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if every required role has a holder or the fleet has no members
     */
    public static Optional<FleetRecord> placeRoles(
            FleetRecord record, Map<String, RoleRequirement> requirements, String writer) {
        List<String> unassignedRoles = new TreeSet<>(requirements.keySet())
                .stream().filter(role -> record.holder(role).isEmpty()).toList();
        if (unassignedRoles.isEmpty() || record.members().isEmpty()) {
            return Optional.empty();
        }
        return nextRecord(
                record,
                writer,
                record.members(),
                assign(record, record.members(), unassignedRoles, requirements, ""),
                record.marks());
    }

    /**
     * Removes the assignments of roles that are no longer required; only the holder itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member, which has stopped acting in the roles
     * @param roles names of the roles; those that the member does not hold are ignored
     * @param writer unique id of the write
     * @return the next record, or empty if the member holds none of the roles
     */
    public static Optional<FleetRecord> dropRoles(
            FleetRecord record, String memberId, Set<String> roles, String writer) {
        Set<String> heldRoles = heldRoles(record, memberId, roles);
        if (heldRoles.isEmpty()) {
            return Optional.empty();
        }
        Map<String, RoleAssignment> remaining = new HashMap<>(record.roles());
        remaining.keySet().removeAll(heldRoles);
        return nextRecord(record, writer, record.members(), remaining, record.marks());
    }

    /**
     * Marks an unresponsive member, as the first phase of a removal without confirmations of its lease group.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param writer unique id of the write
     * @return the next record, whose epoch is stored as the mark, or empty if the member is absent or already marked
     */
    public static Optional<FleetRecord> markForRemoval(FleetRecord record, String memberId, String writer) {
        if (!record.members().containsKey(memberId) || record.marks().containsKey(memberId)) {
            return Optional.empty();
        }
        Map<String, Long> marks = new HashMap<>(record.marks());
        marks.put(memberId, record.epoch() + 1);
        return nextRecord(record, writer, record.members(), record.roles(), marks);
    }

    /**
     * Clears the removal mark of a member that is alive.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param writer unique id of the write
     * @return the next record, or empty if the member is not marked
     */
    public static Optional<FleetRecord> clearRemovalMark(FleetRecord record, String memberId, String writer) {
        if (!record.marks().containsKey(memberId)) {
            return Optional.empty();
        }
        Map<String, Long> marks = new HashMap<>(record.marks());
        marks.remove(memberId);
        return nextRecord(record, writer, record.members(), record.roles(), marks);
    }

    /**
     * Removes a member whose mark has been present for the whole second phase, and assigns its roles to others.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param markedEpoch epoch of the mark at the start of that phase; a mark that was cleared and set again differs
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if that mark is no longer present
     */
    public static Optional<FleetRecord> removeMarked(
            FleetRecord record,
            String memberId,
            long markedEpoch,
            Map<String, RoleRequirement> requirements,
            String writer) {
        return record.member(memberId)
                .filter(member -> record.marks().getOrDefault(memberId, -1L) == markedEpoch)
                .flatMap(member -> removeMember(record, member, requirements, writer));
    }

    private static Optional<FleetRecord> removeMember(
            FleetRecord record, Member member, Map<String, RoleRequirement> requirements, String writer) {
        Map<String, Member> members = new HashMap<>(record.members());
        members.remove(member.id());
        Map<String, Long> marks = new HashMap<>(record.marks());
        marks.remove(member.id());
        List<String> roles = RolePlacement.inHandoverOrder(member, record.rolesOf(member.id()), requirements);
        return nextRecord(record, writer, members, assign(record, members, roles, requirements, member.id()), marks);
    }

    private static Map<String, RoleAssignment> assign(
            FleetRecord record,
            Map<String, Member> members,
            List<String> roles,
            Map<String, RoleRequirement> requirements,
            String excludedId) {
        Map<String, RoleAssignment> assignments = new HashMap<>(record.roles());
        roles.forEach(assignments::remove);
        RoleLoads loads = new RoleLoads(members, assignments.values(), roles.size());
        for (String role : roles) {
            loads.choose(RolePlacement.requirementOrDefault(role, requirements), excludedId)
                    .ifPresent(holder -> {
                        assignments.put(role, new RoleAssignment(holder.id(), record.epoch() + 1));
                        loads.add(holder.id());
                    });
        }
        return assignments;
    }

    private static Set<String> heldRoles(FleetRecord record, String memberId, Collection<String> roles) {
        Set<String> heldRoles = new HashSet<>(record.rolesOf(memberId));
        heldRoles.retainAll(roles);
        return heldRoles;
    }

    private static Optional<FleetRecord> nextRecord(
            FleetRecord record,
            String writer,
            Map<String, Member> members,
            Map<String, RoleAssignment> roles,
            Map<String, Long> marks) {
        return Optional.of(new FleetRecord(record.epoch() + 1, writer, members, roles, marks));
    }
}
