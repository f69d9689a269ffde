package org.snipewind.protocol;

/**
 * Asks a supervisor for the load of a target.
 *
 * @param target name of the target
 */
public record LoadProbe(String target) implements PeerMessage {}
