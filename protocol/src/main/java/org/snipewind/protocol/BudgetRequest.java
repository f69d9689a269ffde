package org.snipewind.protocol;

/**
 * A request for rate tokens, sent to the budget keeper.
 *
 * @param budget name of the budget: an organisation, or a route open to all
 * @param tokens number of tokens wanted, at least 1
 */
public record BudgetRequest(String budget, int tokens) implements PeerMessage {}
