package org.snipewind.protocol;

/**
 * A witness's answer to an expiry query.
 *
 * @param witness id of the member that answers; an address may have passed to another incarnation
 * @param holder id of the member whose lease is in question
 * @param expired whether the witness has not acknowledged the member for a lease and never will again
 */
public record ExpiryAnswer(String witness, String holder, boolean expired) implements PeerMessage {}
