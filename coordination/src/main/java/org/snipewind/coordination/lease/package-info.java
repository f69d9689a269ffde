/** Member leases, which are extended by heartbeats that a majority of a group of peers has acknowledged. */
package org.snipewind.coordination.lease;
