/** Handling of a caller's request by its entry daemon, the daemon that received it. */
package org.snipewind.daemon.entry;
