/** Admission of requests at a target: fair queueing, deadlines and cold start. */
package org.snipewind.coordination.admission;
