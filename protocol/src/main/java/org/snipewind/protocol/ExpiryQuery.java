package org.snipewind.protocol;

/**
 * Asks a witness whether a member's lease has expired.
 *
 * @param holder id of the member whose lease is in question
 */
public record ExpiryQuery(String holder) implements PeerMessage {}
