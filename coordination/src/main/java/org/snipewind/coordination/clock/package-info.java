/** The millisecond clock on which all time-dependent decisions are based. */
package org.snipewind.coordination.clock;
