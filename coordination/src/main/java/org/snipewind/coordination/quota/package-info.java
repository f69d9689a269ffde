/**
 * Limits over the whole fleet: most of an organisation's rate is issued by one keeper as short-lived tokens, and a
 * fixed part is split over the instances for good, for the time in which the keeper can't be reached.
 */
package org.snipewind.coordination.quota;
