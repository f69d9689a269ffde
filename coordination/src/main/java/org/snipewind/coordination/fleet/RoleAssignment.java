package org.snipewind.coordination.fleet;

/**
 * The assignment of a role to a member.
 *
 * @param holder id of the member that holds the role
 * @param token fencing token, which increases with every change of the holder
 */
public record RoleAssignment(String holder, long token) {}
