/** Member leases acknowledged by a group of peers. */
package org.snipewind.coordination.lease;
