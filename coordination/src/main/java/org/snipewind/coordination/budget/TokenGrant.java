package org.snipewind.coordination.budget;

/**
 * The keeper's answer to a request for tokens.
 *
 * @param tokens number of tokens issued
 * @param retryAfterMillis milliseconds until the next token may be issued, 0 if all wanted tokens were issued
 */
public record TokenGrant(int tokens, long retryAfterMillis) {}
