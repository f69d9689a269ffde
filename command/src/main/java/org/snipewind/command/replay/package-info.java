/** Replays request traces with open-loop arrivals, and summarises the outcomes. */
package org.snipewind.command.replay;
