/** Counters of the daemon and their text forms. */
package org.snipewind.router.metrics;
