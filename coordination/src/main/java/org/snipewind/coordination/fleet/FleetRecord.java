package org.snipewind.coordination.fleet;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The agreed state of the fleet; it changes only by compare-and-swap in the store.
 *
 * @param epoch version that grows by one with each write; 0 is the empty record
 * @param writer unique id of the write, by which a lost answer is settled
 * @param members members by id
 * @param roles role assignments by role name
 * @param marks epoch of the mark by id of a member that nobody hears, for its removal in two phases
 */
public record FleetRecord(
        long epoch,
        String writer,
        Map<String, Member> members,
        Map<String, RoleAssignment> roles,
        Map<String, Long> marks) {

    /** The record before the first member joined. */
    public static final FleetRecord EMPTY = new FleetRecord(0, "", Map.of(), Map.of());

    /** Copies the maps in the order of their keys. */
    public FleetRecord {
        members = Collections.unmodifiableMap(new TreeMap<>(members));
        roles = Collections.unmodifiableMap(new TreeMap<>(roles));
        marks = Collections.unmodifiableMap(new TreeMap<>(marks));
    }

    /**
     * Creates a record without marks.
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
     * @return the holder, or empty if nobody holds the role
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
