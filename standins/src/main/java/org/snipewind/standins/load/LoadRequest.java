package org.snipewind.standins.load;

/**
 * One request of a load.
 *
 * @param atNanos intended send time in nanoseconds since the start of the load
 * @param address host and port of the receiver
 * @param method HTTP method
 * @param uri path and query; if the query is unique in the load, execution records can be matched to the request
 * @param organisation name of the organisation whose sample key is sent, empty for none
 */
public record LoadRequest(long atNanos, String address, String method, String uri, String organisation) {}
