package org.snipewind.protocol;

/**
 * A witness's answer to an expiry query.
 *
 * @param holder id of the member whose lease is in question
 * @param expired whether the witness has not acknowledged the member for a lease and never will again
 */
public record ExpiryAnswer(String holder, boolean expired) implements PeerMessage {}
