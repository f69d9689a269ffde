/** Supervision of targets: renewal of grants, admission of requests and sending. */
package org.snipewind.daemon.supervisor;
