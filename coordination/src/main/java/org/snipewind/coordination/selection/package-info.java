/** Selection of a target in an undivided pool, and hedging. */
package org.snipewind.coordination.selection;
