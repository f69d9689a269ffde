package org.snipewind.protocol;

/**
 * Rate-limit tokens issued in answer to a {@link BudgetRequest}.
 *
 * @param fromIssuer whether the answering process is the token issuer and may issue tokens already
 * @param tokens number of tokens issued
 * @param retryAfterMillis milliseconds until the next token, 0 if all requested tokens were issued or the time is
 *     unknown
 */
public record BudgetGrant(boolean fromIssuer, int tokens, long retryAfterMillis) implements PeerMessage {}
