/** The path of a caller's request through its entry daemon. */
package org.snipewind.daemon.entry;
