package org.snipewind.protocol;

/** Counters of {@link PeerEvent}s; called on network threads, so they must be thread-safe and must not block. */
@FunctionalInterface
public interface PeerCounters {

    /** Ignores all events. */
    PeerCounters NONE = (event, amount) -> {};

    /**
     * Adds to the count of an event.
     *
     * @param event the event
     * @param amount the amount to add
     */
    void add(PeerEvent event, long amount);

    /**
     * Records the size of a frame that was sent.
     *
     * @param peerId member id of the receiver
     * @param messageName simple name of the class of the message
     * @param bytes size with the length prefix and the authentication tag
     */
    default void frameSent(String peerId, String messageName, long bytes) {}

    /**
     * Adds one to the count of an event.
     *
     * @param event the event
     */
    default void increment(PeerEvent event) {
        add(event, 1);
    }
}
