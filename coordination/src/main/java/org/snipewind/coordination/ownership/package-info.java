/** Ownership of slices of the key space by targets, and the grants that enforce it. */
package org.snipewind.coordination.ownership;
