/** Numbered log events and a rate-limited event log. */
package org.snipewind.router.log;
