package org.snipewind.clients.store;

/**
 * Known result of a compare-and-swap; if the result is not known, the future of the call fails instead.
 *
 * @param applied whether the value was written
 * @param version version of the value in the store after the call, 0 if there is no value
 */
public record SwapResult(boolean applied, long version) {}
