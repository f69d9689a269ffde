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
 * Pure transitions of the fleet record.
 *
 * <p>Each returns the record to write by compare-and-swap, or empty if there is nothing to change or the change is not
 * allowed. A role that changes its holder gets the epoch of the write as its token; epochs only grow, so tokens grow
 * also when a role is dropped and placed again.
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
        return next(record, writer, members, record.roles(), record.marks());
    }

    /**
     * Removes a member at its own wish and places its roles with others; only the member itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member, which has stopped acting in its roles
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if the member is not present
     */
    public static Optional<FleetRecord> leave(
            FleetRecord record, String memberId, Map<String, RoleRequirement> requirements, String writer) {
        return record.member(memberId).flatMap(member -> without(record, member, requirements, writer));
    }

    /**
     * Removes a member whose lease has certainly ended and places its roles with others.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param evidence confirmations of the lease group that this record stores
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if the member is not present or the evidence does not prove the end
     */
    public static Optional<FleetRecord> remove(
            FleetRecord record,
            String memberId,
            LeaseExpiryConfirmations evidence,
            Map<String, RoleRequirement> requirements,
            String writer) {
        return record.member(memberId)
                .filter(member -> evidence.holder().equals(memberId)
                        && Set.copyOf(evidence.group()).equals(Set.copyOf(member.leaseGroup()))
                        && evidence.hasMajority())
                .flatMap(member -> without(record, member, requirements, writer));
    }

    /**
     * Selects a new lease group if the present one holds former members, is smaller than possible, or has too many of
     * one data centre; only the member itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param writer unique id of the write
     * @return the next record, or empty if the group can stay
     */
    public static Optional<FleetRecord> reselectLeaseGroup(FleetRecord record, String memberId, String writer) {
        Optional<Member> found = record.member(memberId);
        if (found.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Member> members = new HashMap<>(record.members());
        List<String> present = found.get().leaseGroup();
        List<String> selected = LeaseGroups.select(memberId, members.values());
        boolean canStay = members.keySet().containsAll(present)
                && present.size() >= selected.size()
                && LeaseGroups.largestShare(present, members) <= LeaseGroups.largestShare(selected, members);
        if (canStay) {
            return Optional.empty();
        }
        members.put(memberId, found.get().withLeaseGroup(selected));
        return next(record, writer, members, record.roles(), record.marks());
    }

    /**
     * Gives roles of a member to others; only the member itself may write this.
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
        Set<String> held = held(record, memberId, roles);
        if (member.isEmpty() || held.isEmpty() || record.members().size() == 1) {
            return Optional.empty();
        }
        List<String> ordered = RolePlacement.handOverOrder(member.get(), held, requirements);
        return next(
                record,
                writer,
                record.members(),
                place(record, record.members(), ordered, requirements, memberId),
                record.marks());
    }

    /**
     * Places the roles that are required and that no member holds.
     *
     * @param record the present record
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if every required role has a holder or the fleet has no members
     */
    public static Optional<FleetRecord> placeRoles(
            FleetRecord record, Map<String, RoleRequirement> requirements, String writer) {
        List<String> missing = new TreeSet<>(requirements.keySet())
                .stream().filter(role -> record.holder(role).isEmpty()).toList();
        if (missing.isEmpty() || record.members().isEmpty()) {
            return Optional.empty();
        }
        return next(
                record,
                writer,
                record.members(),
                place(record, record.members(), missing, requirements, ""),
                record.marks());
    }

    /**
     * Drops roles of a member that are no longer required; only the member itself may write this.
     *
     * @param record the present record
     * @param memberId id of the member, which has stopped acting in the roles
     * @param roles names of the roles; those that the member does not hold are ignored
     * @param writer unique id of the write
     * @return the next record, or empty if the member holds none of the roles
     */
    public static Optional<FleetRecord> dropRoles(
            FleetRecord record, String memberId, Set<String> roles, String writer) {
        Set<String> held = held(record, memberId, roles);
        if (held.isEmpty()) {
            return Optional.empty();
        }
        Map<String, RoleAssignment> remaining = new HashMap<>(record.roles());
        remaining.keySet().removeAll(held);
        return next(record, writer, record.members(), remaining, record.marks());
    }

    /**
     * Marks a member that nobody hears, as the first phase of a removal without evidence.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param writer unique id of the write
     * @return the next record, whose mark carries its epoch, or empty if the member is absent or already marked
     */
    public static Optional<FleetRecord> markForRemoval(FleetRecord record, String memberId, String writer) {
        if (!record.members().containsKey(memberId) || record.marks().containsKey(memberId)) {
            return Optional.empty();
        }
        Map<String, Long> marks = new HashMap<>(record.marks());
        marks.put(memberId, record.epoch() + 1);
        return next(record, writer, record.members(), record.roles(), marks);
    }

    /**
     * Removes the mark of a live member.
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
        return next(record, writer, record.members(), record.roles(), marks);
    }

    /**
     * Removes a member whose mark the caller has watched for the whole second phase.
     *
     * @param record the present record
     * @param memberId id of the member
     * @param markedEpoch epoch of the watched mark; a mark that was removed and set again has another one
     * @param requirements requirements by role name
     * @param writer unique id of the write
     * @return the next record, or empty if that mark is not present any more
     */
    public static Optional<FleetRecord> removeMarked(
            FleetRecord record,
            String memberId,
            long markedEpoch,
            Map<String, RoleRequirement> requirements,
            String writer) {
        return record.member(memberId)
                .filter(member -> record.marks().getOrDefault(memberId, -1L) == markedEpoch)
                .flatMap(member -> without(record, member, requirements, writer));
    }

    private static Optional<FleetRecord> without(
            FleetRecord record, Member member, Map<String, RoleRequirement> requirements, String writer) {
        Map<String, Member> members = new HashMap<>(record.members());
        members.remove(member.id());
        Map<String, Long> marks = new HashMap<>(record.marks());
        marks.remove(member.id());
        List<String> roles = RolePlacement.handOverOrder(member, record.rolesOf(member.id()), requirements);
        return next(record, writer, members, place(record, members, roles, requirements, member.id()), marks);
    }

    private static Map<String, RoleAssignment> place(
            FleetRecord record,
            Map<String, Member> members,
            List<String> roles,
            Map<String, RoleRequirement> requirements,
            String excluded) {
        Map<String, RoleAssignment> assignments = new HashMap<>(record.roles());
        roles.forEach(assignments::remove);
        RoleLoads loads = new RoleLoads(members, assignments.values(), roles.size());
        for (String role : roles) {
            loads.choose(RolePlacement.requirementOf(role, requirements), excluded)
                    .ifPresent(holder -> {
                        assignments.put(role, new RoleAssignment(holder.id(), record.epoch() + 1));
                        loads.add(holder.id());
                    });
        }
        return assignments;
    }

    private static Set<String> held(FleetRecord record, String memberId, Collection<String> roles) {
        Set<String> held = new HashSet<>(record.rolesOf(memberId));
        held.retainAll(roles);
        return held;
    }

    private static Optional<FleetRecord> next(
            FleetRecord record,
            String writer,
            Map<String, Member> members,
            Map<String, RoleAssignment> roles,
            Map<String, Long> marks) {
        return Optional.of(new FleetRecord(record.epoch() + 1, writer, members, roles, marks));
    }
}
