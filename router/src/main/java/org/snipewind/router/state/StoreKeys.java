package org.snipewind.router.state;

/** Keys of the router's own items in the store. */
public final class StoreKeys {

    /** Start of all own keys. */
    public static final String ROOT_PREFIX = "snipewind/";

    /** Start of the keys of the instances; each has its name behind it. */
    public static final String MEMBER_PREFIX = ROOT_PREFIX + "members/";

    /** Key of the leader. */
    public static final String LEADER = ROOT_PREFIX + "leader";

    /** Start of the keys of the tables of holders; each has the pool's name behind it. */
    public static final String KEY_TABLE_PREFIX = ROOT_PREFIX + "keys/";

    /** Key of the secret with which the instances know each other. */
    public static final String SECRET = ROOT_PREFIX + "secret";

    private StoreKeys() {}
}
