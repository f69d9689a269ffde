/** Control loops of membership, leases, roles and slice tables. */
package org.snipewind.daemon.fleet;
