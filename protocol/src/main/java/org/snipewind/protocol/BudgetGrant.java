package org.snipewind.protocol;

/**
 * Tokens issued by the budget keeper.
 *
 * @param holder whether the answering daemon is the keeper of the budget and may issue tokens already
 * @param tokens number of tokens issued
 * @param retryAfterMillis milliseconds until the next token, 0 if all wanted tokens were issued or that is not known
 */
public record BudgetGrant(boolean holder, int tokens, long retryAfterMillis) implements PeerMessage {}
