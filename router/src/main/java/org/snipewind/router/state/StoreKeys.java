package org.snipewind.router.state;

/** Keys and key prefixes of the router's own items in the store. */
public final class StoreKeys {

    /** Prefix of all keys of the router. */
    public static final String ROOT_PREFIX = "snipewind/";

    /** Prefix of the keys of member records, followed by the name of the instance. */
    public static final String MEMBER_PREFIX = ROOT_PREFIX + "members/";

    /** Key of the leader item. */
    public static final String LEADER = ROOT_PREFIX + "leader";

    /** Key of the record of leaders whose leases were ended by others. */
    public static final String FORMER_LEADERS = ROOT_PREFIX + "former-leaders";

    /** Prefix of the keys of key tables, followed by the name of the pool. */
    public static final String KEY_TABLE_PREFIX = ROOT_PREFIX + "keys/";

    /** Prefix of the keys of the records of roll-outs, followed by the name of the pool. */
    public static final String ROLLOUT_PREFIX = ROOT_PREFIX + "rollouts/";

    /** Key of the secret with which the instances authenticate each other. */
    public static final String SECRET = ROOT_PREFIX + "secret";

    private StoreKeys() {}
}
