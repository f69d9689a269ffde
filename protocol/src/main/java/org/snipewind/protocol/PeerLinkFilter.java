package org.snipewind.protocol;

/** Decides which peers can be reached, so that tests and measurements can simulate a partition at the sender. */
@FunctionalInterface
public interface PeerLinkFilter {

    /** Allows all peers. */
    PeerLinkFilter ALL = address -> true;

    /**
     * Tells whether messages to a peer leave; a message that does not is dropped, and its call ends by its timeout.
     *
     * @param address host and port of the peer
     * @return true if messages leave
     */
    boolean allows(String address);
}
