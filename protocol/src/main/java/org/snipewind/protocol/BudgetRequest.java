package org.snipewind.protocol;

/**
 * A request for rate-limit tokens, sent to the token issuer.
 *
 * @param budget what the tokens are for: name of an organisation, or of a route open to all
 * @param tokens number of tokens requested, at least 1
 * @param lifetimeMillis time in which the sender uses the tokens, counted from the sending of this message
 */
public record BudgetRequest(String budget, int tokens, long lifetimeMillis) implements PeerMessage {}
