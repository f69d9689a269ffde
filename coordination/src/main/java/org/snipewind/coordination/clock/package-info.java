/** The millisecond clock that all decisions read. */
package org.snipewind.coordination.clock;
