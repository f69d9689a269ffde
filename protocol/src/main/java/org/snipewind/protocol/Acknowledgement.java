package org.snipewind.protocol;

/**
 * An answer that only says that a message arrived and was handled.
 *
 * @param accepted whether the message had its effect
 */
public record Acknowledgement(boolean accepted) implements PeerMessage {}
