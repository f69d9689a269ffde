/** Leader election: the priority of candidates, the handover of leadership, and the instances that follow a leader. */
package org.snipewind.coordination.election;
