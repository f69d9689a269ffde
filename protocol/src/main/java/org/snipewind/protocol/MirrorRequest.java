package org.snipewind.protocol;

/**
 * Asks an instance for its store cache, as the sender can't reach the store itself.
 *
 * @param knownRevision revision of the sender's own store cache
 */
public record MirrorRequest(long knownRevision) implements PeerMessage {}
