/**
 * Admission of requests at a target (fair queueing, deadlines, the concurrency limit after a cold start) and admission
 * in an instance when a pool is short of room.
 */
package org.snipewind.coordination.admission;
