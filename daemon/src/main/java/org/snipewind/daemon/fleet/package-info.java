/** Control loops for fleet membership, leases, role assignment and slice tables. */
package org.snipewind.daemon.fleet;
