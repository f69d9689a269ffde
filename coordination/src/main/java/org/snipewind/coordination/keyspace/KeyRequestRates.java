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

    /** Keys whose rate is below this fraction of the rate of a single new request are removed. */
    private static final double NEGLIGIBLE_FRACTION = 0.03;

    private final MillisClock clock;
    private final double timeConstantMillis;
    private final NavigableMap<Integer, Double> ratesPerSecond = new TreeMap<>();
    private long decayedAtMillis;

    /**
     * Creates a tracker without requests, which follows changes quickly.
     *
     * @param clock the clock by which the average decays
     */
    public KeyRequestRates(MillisClock clock) {
        this(clock, TIME_CONSTANT_SECONDS);
    }

    /**
     * Creates a tracker without requests.
     *
     * @param clock the clock by which the average decays
     * @param timeConstantSeconds time after which a request counts for 1/e
     */
    public KeyRequestRates(MillisClock clock, double timeConstantSeconds) {
        this.clock = clock;
        this.timeConstantMillis = timeConstantSeconds * 1_000;
        this.decayedAtMillis = clock.nowMillis();
    }

    /**
     * Adds requests to the average.
     *
     * @param key the key
     * @param requests number of requests since the last call for this key
     */
    public void recordRequests(int key, double requests) {
        ratesPerSecond.merge(key, requests * 1_000 / timeConstantMillis, Double::sum);
    }

    /**
     * Returns the current rates.
     *
     * @return requests per second by key; valid until the next call of any method of this object
     */
    public NavigableMap<Integer, Double> rates() {
        long now = clock.nowMillis();
        double factor = Math.exp((decayedAtMillis - now) / timeConstantMillis);
        double negligible = NEGLIGIBLE_FRACTION * 1_000 / timeConstantMillis;
        decayedAtMillis = now;
        ratesPerSecond.entrySet().removeIf(entry -> entry.getValue() * factor < negligible);
        for (Map.Entry<Integer, Double> entry : ratesPerSecond.entrySet()) {
            entry.setValue(entry.getValue() * factor);
        }
        return ratesPerSecond;
    }
}
