package org.snipewind.coordination.fleet;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state of the fleet on which all members agree; it changes only by compare-and-swap in the store.
 *
 * @param epoch version that increases by one with each write; 0 is the empty record
 * @param writer unique id of the write, by which a member whose store call got no response recognises its own write
 * @param members members by id
 * @param roles role assignments by role name
 * @param marks removal marks of unresponsive members, which are removed in two phases: epoch of the mark by member id
 */
public record FleetRecord(
        long epoch,
        String writer,
        Map<String, Member> members,
        Map<String, RoleAssignment> roles,
        Map<String, Long> marks) {

    /** The record before the first member has joined. */
    public static final FleetRecord EMPTY = new FleetRecord(0, "", Map.of(), Map.of());

    /** Makes the maps immutable and sorts them by key. */
    public FleetRecord {
        members = Collections.unmodifiableMap(new TreeMap<>(members));
        roles = Collections.unmodifiableMap(new TreeMap<>(roles));
        marks = Collections.unmodifiableMap(new TreeMap<>(marks));
    }

    /**
     * Creates a record without removal marks.
     *
     * @param epoch version of the record
     * @param writer unique id of the write
     * @param members members by id
     * @param roles role assignments by role name
     */
    public FleetRecord(long epoch, String writer, Map<String, Member> members, Map<String, RoleAssignment> roles) {
        this(epoch, writer, members, roles, Map.of());
    }

    /**
     * Finds a member.
     *
     * @param id id of the member
     * @return the member, or empty if it is not part of the fleet
     */
    public Optional<Member> member(String id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Finds the member that holds a role.
     *
     * @param role name of the role
     * @return the holder, or empty if no member holds the role
     */
    public Optional<Member> holder(String role) {
        return Optional.ofNullable(roles.get(role)).flatMap(assignment -> member(assignment.holder()));
    }

    /**
     * Finds the fencing token of a role held by a member.
     *
     * @param role name of the role
     * @param memberId id of the member
     * @return the token, or empty if the member does not hold the role
     */
    public Optional<Long> tokenOf(String role, String memberId) {
        return Optional.ofNullable(roles.get(role))
                .filter(assignment -> assignment.holder().equals(memberId))
                .map(RoleAssignment::token);
    }

    /**
     * Lists the roles of a member.
     *
     * @param memberId id of the member
     * @return role names in ascending order
     */
    public List<String> rolesOf(String memberId) {
        return roles.entrySet().stream()
                .filter(entry -> entry.getValue().holder().equals(memberId))
                .map(Map.Entry::getKey)
                .toList();
    }
}
