/**
 * Limits over the whole fleet without a call for each request: each instance has a fixed part of an organisation's rate
 * and borrows from the rest for a limited time, as in escrow (O'Neil, TODS 1986) and bounded counters (Balegas et al.,
 * SRDS 2015). What a lost lender or borrower held is lost until its loan ends, so a loss never adds tokens.
 */
package org.snipewind.coordination.quota;
