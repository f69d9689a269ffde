package org.snipewind.coordination.fleet;

/**
 * The holder of a role.
 *
 * @param holder id of the member that holds the role
 * @param token fencing token; it grows with every change of holder
 */
public record RoleAssignment(String holder, long token) {}
