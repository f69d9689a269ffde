package org.snipewind.daemon.fleet;

/** Tells whether work goes on under a role. */
@FunctionalInterface
public interface RoleActivity {

    /**
     * Tells whether a role that this daemon stopped acting in can be given away.
     *
     * @param role name of the role
     * @return true if no work is in flight under the role
     */
    boolean isIdle(String role);
}
