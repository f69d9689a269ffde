package org.snipewind.protocol;

/**
 * Answer of a relay to a {@link MirrorDelta} that it was asked to forward.
 *
 * @param accepted whether the relay has forwarded it
 * @param receivedMillis the relay's clock when it answered
 */
public record RelayAcknowledgement(boolean accepted, long receivedMillis) implements PeerMessage {}
