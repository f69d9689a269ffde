/** Ownership of key slices by targets, and the grants that enforce it. */
package org.snipewind.coordination.ownership;
