package org.snipewind.coordination.fleet;

/** Builds the names of roles in the fleet record. */
public final class RoleNames {

    /** Prefix of the role that supervises a target. */
    public static final String TARGET_PREFIX = "target:";
    /** Prefix of the role that writes the slice table of a pool. */
    public static final String POOL_PREFIX = "pool:";
    /** Prefix of the role that issues the rate-limit tokens of an organisation. */
    public static final String BUDGET_PREFIX = "budget:";
    /** Prefix of the role that watches the store for a data centre. */
    public static final String WATCH_PREFIX = "watch:";

    private RoleNames() {}

    /**
     * Returns the name of the role that supervises a target.
     *
     * @param target name of the target
     * @return the role name
     */
    public static String target(String target) {
        return TARGET_PREFIX + target;
    }

    /**
     * Returns the name of the role that writes the slice table of a pool.
     *
     * @param pool name of the pool
     * @return the role name
     */
    public static String pool(String pool) {
        return POOL_PREFIX + pool;
    }

    /**
     * Returns the name of the role that issues the rate-limit tokens of an organisation.
     *
     * @param organisation name of the organisation
     * @return the role name
     */
    public static String budget(String organisation) {
        return BUDGET_PREFIX + organisation;
    }

    /**
     * Returns the name of the role that watches the store for a data centre.
     *
     * @param dataCentre name of the data centre
     * @return the role name
     */
    public static String watch(String dataCentre) {
        return WATCH_PREFIX + dataCentre;
    }
}
