package org.snipewind.coordination.keyspace;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.snipewind.coordination.clock.MillisClock;

/** Requests a second by key, averaged over the recent past; used by one thread. */
public final class KeyRequestRates {

    /** Time after which a request counts for 1/e; hot keys move within a few seconds, and a shorter time is noisy. */
    static final double MEMORY_SECONDS = 1.5;

    private static final double MEMORY_MILLIS = MEMORY_SECONDS * 1_000;

    /** Keys below this rate are forgotten. */
    private static final double NEGLIGIBLE_PER_SECOND = 0.02;

    private final MillisClock clock;
    private final NavigableMap<Integer, Double> perSecond = new TreeMap<>();
    private long decayedAtMillis;

    /**
     * Creates an empty record.
     *
     * @param clock the clock of the average
     */
    public KeyRequestRates(MillisClock clock) {
        this.clock = clock;
        this.decayedAtMillis = clock.nowMillis();
    }

    /**
     * Counts requests.
     *
     * @param key the key
     * @param requests number of requests since the last report
     */
    public void recordRequests(int key, double requests) {
        perSecond.merge(key, requests * 1_000 / MEMORY_MILLIS, Double::sum);
    }

    /**
     * Gives the present rates.
     *
     * @return requests a second by key; valid until the next call of a method
     */
    public NavigableMap<Integer, Double> rates() {
        long now = clock.nowMillis();
        double factor = Math.exp((decayedAtMillis - now) / MEMORY_MILLIS);
        decayedAtMillis = now;
        perSecond.entrySet().removeIf(entry -> entry.getValue() * factor < NEGLIGIBLE_PER_SECOND);
        for (Map.Entry<Integer, Double> entry : perSecond.entrySet()) {
            entry.setValue(entry.getValue() * factor);
        }
        return perSecond;
    }
}
