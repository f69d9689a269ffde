package org.snipewind.clients.store;

/**
 * The certain result of a compare-and-swap; an uncertain one fails its future instead.
 *
 * @param applied whether the value was written
 * @param version version of the value now in the store, 0 if there is none
 */
public record SwapResult(boolean applied, long version) {}
