package org.snipewind.coordination.admission;

/**
 * Limits of an admission queue.
 *
 * @param entries most requests that wait
 * @param bytes most bytes of requests that wait
 */
public record AdmissionLimits(int entries, long bytes) {}
