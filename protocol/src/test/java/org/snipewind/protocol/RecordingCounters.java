package org.snipewind.protocol;

import java.util.EnumMap;
import java.util.Map;

/** Counters whose values tests can read and wait for. */
final class RecordingCounters implements PeerCounters {

    private final Map<PeerEvent, Long> counts = new EnumMap<>(PeerEvent.class);

    @Override
    public synchronized void add(PeerEvent event, long amount) {
        counts.merge(event, amount, Long::sum);
        notifyAll();
    }

    synchronized long count(PeerEvent event) {
        return counts.getOrDefault(event, 0L);
    }

    /** Waits until an event has been counted often enough; the timeout of the test bounds the wait. */
    synchronized void await(PeerEvent event, long expected) throws InterruptedException {
        while (count(event) < expected) {
            wait();
        }
    }
}
