/** Replays of request traces with open-loop arrivals. */
package org.snipewind.command.replay;
