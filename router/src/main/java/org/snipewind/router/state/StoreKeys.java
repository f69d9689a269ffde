package org.snipewind.router.state;

/** Keys of the router's own items in the store. */
public final class StoreKeys {

    /** Start of all own keys. */
    public static final String ROOT = "snipewind/";

    /** Start of the keys of the instances; each has its name behind it. */
    public static final String MEMBERS = ROOT + "members/";

    /** Key of the leader. */
    public static final String LEADER = ROOT + "leader";

    /** Start of the keys of the tables of holders; each has the pool's name behind it. */
    public static final String TABLES = ROOT + "keys/";

    /** Key of the secret with which the instances know each other. */
    public static final String SECRET = ROOT + "secret";

    private StoreKeys() {}
}
