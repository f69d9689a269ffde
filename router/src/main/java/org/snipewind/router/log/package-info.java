/** Numbered log events with a bounded volume. */
package org.snipewind.router.log;
