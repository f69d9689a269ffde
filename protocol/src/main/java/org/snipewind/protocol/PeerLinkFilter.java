package org.snipewind.protocol;

/** Decides which peers messages are sent to, so that tests and measurements can simulate a network partition. */
@FunctionalInterface
public interface PeerLinkFilter {

    /** Allows all peers. */
    PeerLinkFilter ALL = address -> true;

    /**
     * Returns whether messages to a peer are sent. A message that is not sent is dropped, and its call times out.
     *
     * @param address host and port of the peer
     * @return true if messages are sent
     */
    boolean allows(String address);
}
