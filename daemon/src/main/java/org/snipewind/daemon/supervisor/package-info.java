/** Supervision of targets: grants, admission and sending. */
package org.snipewind.daemon.supervisor;
