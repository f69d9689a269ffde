/** Decisions for a store that was restored from an older copy and has lost acknowledged writes. */
package org.snipewind.coordination.restore;
