/** Rate limits of organisations for the whole fleet, and budgets for retries and hedged requests. */
package org.snipewind.coordination.budget;
