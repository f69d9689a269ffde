package org.snipewind.router.rollout;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import org.snipewind.router.metrics.ProcessMetrics;

/** Requests, failures and mean service time of one version of a pool. Any thread may use it. */
final class VersionMetrics {

    private final String name;
    private final ProcessMetrics metrics;
    private final AtomicLong responses = new AtomicLong();
    private final DoubleAdder serviceMillis = new DoubleAdder();

    VersionMetrics(String name, ProcessMetrics metrics) {
        this.name = name;
        this.metrics = metrics;
        metrics.gauge(name + ".mean-service-millis", this::meanServiceMillis);
    }

    private long meanServiceMillis() {
        return Math.round(serviceMillis.sum() / Math.max(1, responses.get()));
    }

    void recordResponse(double millis) {
        metrics.count(name + ".requests");
        responses.incrementAndGet();
        serviceMillis.add(millis);
    }

    void recordFailure() {
        metrics.count(name + ".requests");
        metrics.count(name + ".failures");
    }
}
