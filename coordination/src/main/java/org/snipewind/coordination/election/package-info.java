/** Who is to lead: the order in which instances claim a vacant office, and when a leader gives it away. */
package org.snipewind.coordination.election;
