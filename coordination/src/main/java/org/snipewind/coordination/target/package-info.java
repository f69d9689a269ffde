/** Targets as an entry instance sees them: who is in service, how loaded and how fast each is, and where to send. */
package org.snipewind.coordination.target;
