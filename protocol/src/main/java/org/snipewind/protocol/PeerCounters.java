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
     * Adds one to the count of an event.
     *
     * @param event the event
     */
    default void increment(PeerEvent event) {
        add(event, 1);
    }
}
