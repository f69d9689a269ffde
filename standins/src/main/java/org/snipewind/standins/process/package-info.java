/** Starts and ends processes of stand-ins and daemons. */
package org.snipewind.standins.process;
