package org.snipewind.coordination.admission;

/**
 * Limits of an admission queue.
 *
 * @param maxEntries most requests that wait
 * @param maxBytes most bytes of requests that wait
 */
public record AdmissionLimits(int maxEntries, long maxBytes) {}
