/** Decides when an idempotent request is sent to a second target, and whether the limits permit it. */
package org.snipewind.coordination.hedging;
