/**
 * Targets from the point of view of one instance: their registrations, load and response times, the selection of a
 * target, and the limits on connections, retries and requests to targets in cold start.
 */
package org.snipewind.coordination.target;
