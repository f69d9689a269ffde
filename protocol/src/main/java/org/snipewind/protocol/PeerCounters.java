package org.snipewind.protocol;

/** Counts the events of the connections; called on network threads, so it must be thread-safe and must not block. */
@FunctionalInterface
public interface PeerCounters {

    /** Counts nothing. */
    PeerCounters NONE = (event, amount) -> {};

    /**
     * Adds to the count of an event.
     *
     * @param event the event
     * @param amount how much to add
     */
    void add(PeerEvent event, long amount);

    /**
     * Counts one event.
     *
     * @param event the event
     */
    default void increment(PeerEvent event) {
        add(event, 1);
    }
}
