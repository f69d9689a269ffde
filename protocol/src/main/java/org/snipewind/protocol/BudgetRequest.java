package org.snipewind.protocol;

/**
 * A request for rate-limit tokens, sent to the token issuer.
 *
 * @param budget what the tokens are for: name of an organisation, or of a route open to all
 * @param tokens number of tokens requested, at least 1
 */
public record BudgetRequest(String budget, int tokens) implements PeerMessage {}
