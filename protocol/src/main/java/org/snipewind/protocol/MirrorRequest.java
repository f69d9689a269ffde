package org.snipewind.protocol;

/**
 * Asks an instance for its copy of the store, for an instance that can't reach the store itself.
 *
 * @param knownRevision revision of the sender's own copy
 */
public record MirrorRequest(long knownRevision) implements PeerMessage {}
