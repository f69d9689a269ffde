/** Membership of the fleet, its roles and the pure transitions of the fleet record. */
package org.snipewind.coordination.fleet;
