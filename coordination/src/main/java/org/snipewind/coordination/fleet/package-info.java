/** The members of the fleet, their roles, and the side-effect-free transitions of the fleet record. */
package org.snipewind.coordination.fleet;
