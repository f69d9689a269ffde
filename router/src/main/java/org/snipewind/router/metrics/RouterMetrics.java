package org.snipewind.router.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.snipewind.coordination.error.ErrorKind;

/** Counters, gauges and timers of one daemon. */
public final class RouterMetrics {

    private static final String REFUSAL = "refusals.";
    private static final String RETRY = "retries.";

    private final MetricRegistry registry = new MetricRegistry();
    private final Timer requestTime = registry.timer("requests.time");

    /** Registers a counter for each refusal reason and each retry reason, so that all are shown from the start. */
    public RouterMetrics() {
        for (ErrorKind kind : ErrorKind.values()) {
            registry.counter(REFUSAL + kind.wireName());
            if (kind.isRetryable()) {
                registry.counter(RETRY + kind.wireName());
            }
        }
    }

    /**
     * Counts a refusal given to a caller.
     *
     * @param kind error kind of the refusal
     */
    public void countRefusal(ErrorKind kind) {
        registry.counter(REFUSAL + kind.wireName()).inc();
    }

    /**
     * Counts a retry.
     *
     * @param reason wire name of the error kind that caused it
     */
    public void countRetry(String reason) {
        registry.counter(RETRY + reason).inc();
    }

    /**
     * Counts a decision or event.
     *
     * @param name metric name, words joined by dots and hyphens
     * @param amount amount to add
     */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /**
     * Counts one decision or event.
     *
     * @param name metric name, words joined by dots and hyphens
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Adds up the time by which the ticks of a loop are late; its growth is the time in which the loop could not run.
     *
     * @param name metric name
     * @param lateMillis milliseconds by which a tick is late, 0 or less if it is not
     */
    public void countDelay(String name, long lateMillis) {
        if (lateMillis > 0) {
            registry.counter(name).inc(lateMillis);
        }
    }

    /**
     * Records the time of an answered request.
     *
     * @param nanos nanoseconds from arrival to answer
     */
    public void recordRequest(long nanos) {
        requestTime.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Registers a gauge.
     *
     * @param name metric name
     * @param value supplier of the value
     */
    public void gauge(String name, LongSupplier value) {
        registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
    }

    /**
     * Reads a counter.
     *
     * @param name metric name
     * @return its value, 0 if nothing was counted
     */
    public long counterValue(String name) {
        Counter counter = registry.getCounters().get(name);
        return counter == null ? 0 : counter.getCount();
    }

    /**
     * Gives access to all metrics.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }
}
