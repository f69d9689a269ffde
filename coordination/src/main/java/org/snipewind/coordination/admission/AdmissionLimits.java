package org.snipewind.coordination.admission;

/**
 * The capacity of an admission queue.
 *
 * @param maxEntries maximum number of queued requests
 * @param maxBytes maximum total size of the queued requests in bytes
 */
public record AdmissionLimits(int maxEntries, long maxBytes) {}
