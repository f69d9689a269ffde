/** Numbered log events. */
package org.snipewind.daemon.log;
