/** Log events with their codes, and the format of log lines. */
package org.snipewind.daemon.log;
