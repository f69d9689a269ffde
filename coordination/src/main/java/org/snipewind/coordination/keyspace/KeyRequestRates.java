package org.snipewind.coordination.keyspace;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.snipewind.coordination.clock.MillisClock;

/** Tracks requests per second by key as an exponentially decaying average; not safe for use by several threads. */
public final class KeyRequestRates {

    /**
     * Time after which a request counts for 1/e. Hot keys have to be moved within a few seconds; a shorter time gives
     * noisy rates.
     */
    static final double TIME_CONSTANT_SECONDS = 1.5;

    private static final double TIME_CONSTANT_MILLIS = TIME_CONSTANT_SECONDS * 1_000;

    /** Keys below this rate are removed. */
    private static final double NEGLIGIBLE_RATE_PER_SECOND = 0.02;

    private final MillisClock clock;
    private final NavigableMap<Integer, Double> ratesPerSecond = new TreeMap<>();
    private long decayedAtMillis;

    /**
     * Creates a tracker without requests.
     *
     * @param clock the clock by which the average decays
     */
    public KeyRequestRates(MillisClock clock) {
        this.clock = clock;
        this.decayedAtMillis = clock.nowMillis();
    }

    /**
     * Adds requests to the average.
     *
     * @param key the key
     * @param requests number of requests since the last call for this key
     */
    public void recordRequests(int key, double requests) {
        ratesPerSecond.merge(key, requests * 1_000 / TIME_CONSTANT_MILLIS, Double::sum);
    }

    /**
     * Returns the current rates.
     *
     * @return requests per second by key; valid until the next call of any method of this object
     */
    public NavigableMap<Integer, Double> rates() {
        long now = clock.nowMillis();
        double factor = Math.exp((decayedAtMillis - now) / TIME_CONSTANT_MILLIS);
        decayedAtMillis = now;
        ratesPerSecond.entrySet().removeIf(entry -> entry.getValue() * factor < NEGLIGIBLE_RATE_PER_SECOND);
        for (Map.Entry<Integer, Double> entry : ratesPerSecond.entrySet()) {
            entry.setValue(entry.getValue() * factor);
        }
        return ratesPerSecond;
    }
}
