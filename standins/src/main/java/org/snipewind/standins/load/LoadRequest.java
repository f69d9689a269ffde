package org.snipewind.standins.load;

/**
 * A request of a load.
 *
 * @param atNanos intended send time, counted from the start of the load
 * @param address host and port to which it goes
 * @param method HTTP method
 * @param uri path and query; a query that is unique in the load lets records be matched
 * @param organisation name of the organisation whose sample key is sent, empty for none
 */
public record LoadRequest(long atNanos, String address, String method, String uri, String organisation) {}
