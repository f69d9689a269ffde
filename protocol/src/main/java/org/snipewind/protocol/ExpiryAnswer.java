package org.snipewind.protocol;

/**
 * A witness's answer to an expiry query.
 *
 * @param witness id of the answering member; another incarnation may have taken over the address
 * @param holder id of the member whose lease is in question
 * @param expired whether the witness has not acknowledged the member for the duration of a lease, and from now on never
 *     will
 */
public record ExpiryAnswer(String witness, String holder, boolean expired) implements PeerMessage {}
