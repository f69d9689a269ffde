/** Retry decisions, budgets and backoff. */
package org.snipewind.coordination.retry;
