/** Admission of requests at a target: fair queueing, deadlines and the concurrency limit after a cold start. */
package org.snipewind.coordination.admission;
