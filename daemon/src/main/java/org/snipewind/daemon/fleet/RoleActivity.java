package org.snipewind.daemon.fleet;

/** Reports whether a role has work in progress. */
@FunctionalInterface
public interface RoleActivity {

    /**
     * Returns whether a role in which this daemon has stopped acting can be handed over.
     *
     * @param role name of the role
     * @return true if no work of the role is in progress
     */
    boolean isIdle(String role);
}
