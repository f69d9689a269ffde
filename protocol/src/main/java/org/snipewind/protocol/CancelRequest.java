package org.snipewind.protocol;

/**
 * Cancels a forwarded request.
 *
 * @param requestId id of the forwarded request
 */
public record CancelRequest(String requestId) implements PeerMessage {}
