package org.snipewind.protocol;

import java.util.List;

/**
 * Tells the leader of targets that have said in a response that they are leaving.
 *
 * @param incarnations incarnations of the targets
 */
public record LeavingTargets(List<String> incarnations) implements PeerMessage {}
