/** Deployments of stand-ins and daemons on the loopback address. */
package org.snipewind.standins.deployment;
