package org.snipewind.router.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.snipewind.coordination.error.ErrorKind;

/** The counters, gauges and timers of one instance of the router or one daemon. */
public final class ProcessMetrics {

    private static final String REFUSAL_PREFIX = "refusals.";
    private static final String RETRY_PREFIX = "retries.";

    private final MetricRegistry registry = new MetricRegistry();
    private final Timer requestTime = registry.timer("requests.time");

    /** Registers a counter for each refusal reason and each retry reason, so that all of them appear from the start. */
    public ProcessMetrics() {
        for (ErrorKind kind : ErrorKind.values()) {
            registry.counter(REFUSAL_PREFIX + kind.wireName());
            if (kind.isRetryable()) {
                registry.counter(RETRY_PREFIX + kind.wireName());
            }
        }
    }

    /**
     * Counts a refusal sent to a caller.
     *
     * @param kind error kind of the refusal
     */
    public void countRefusal(ErrorKind kind) {
        registry.counter(REFUSAL_PREFIX + kind.wireName()).inc();
    }

    /**
     * Counts a retry.
     *
     * @param reason wire name of the error kind that caused it
     */
    public void countRetry(String reason) {
        registry.counter(RETRY_PREFIX + reason).inc();
    }

    /**
     * Adds an amount to a counter.
     *
     * @param name metric name, words joined by dots and hyphens
     * @param amount amount to add
     */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /**
     * Increments a counter.
     *
     * @param name metric name, words joined by dots and hyphens
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Adds the delay of a tick of an event loop to a counter, whose increase is the time in which the loop could not
     * run.
     *
     * @param name metric name
     * @param lateMillis milliseconds by which the tick is late, 0 or less if it is not late
     */
    public void addLateness(String name, long lateMillis) {
        if (lateMillis > 0) {
            registry.counter(name).inc(lateMillis);
        }
    }

    /**
     * Records the response time of a request.
     *
     * @param nanos nanoseconds from the arrival of the request to its response
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
     * Returns the value of a counter.
     *
     * @param name metric name
     * @return the value, 0 if the counter does not exist
     */
    public long counterValue(String name) {
        Counter counter = registry.getCounters().get(name);
        return counter == null ? 0 : counter.getCount();
    }

    /**
     * Returns the registry with all metrics.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }
}
