package org.snipewind.coordination.budget;

/**
 * The token issuer's response to a request for tokens.
 *
 * @param tokens number of tokens issued
 * @param retryAfterMillis milliseconds until the next token may be issued, 0 if all requested tokens were issued
 */
public record TokenGrant(int tokens, long retryAfterMillis) {}
