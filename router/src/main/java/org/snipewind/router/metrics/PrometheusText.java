package org.snipewind.router.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;

/** Formats metrics in the Prometheus text format and as a flat map for JSON. */
public final class PrometheusText {

    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};
    private static final double NANOS_PER_SECOND = 1e9;

    private PrometheusText() {}

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @param registry the metrics
     * @return one line per sample, preceded by a type line for each metric
     */
    public static String write(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            appendSample(
                    text,
                    prometheusName(entry.getKey()) + "_total",
                    "counter",
                    entry.getValue().getCount());
        }
        for (@SuppressWarnings("rawtypes")
        Map.Entry<String, Gauge> entry : registry.getGauges().entrySet()) {
            appendSample(
                    text,
                    prometheusName(entry.getKey()),
                    "gauge",
                    entry.getValue().getValue());
        }
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            appendSummary(text, prometheusName(entry.getKey()) + "_seconds", entry.getValue());
        }
        return text.toString();
    }

    /**
     * Returns the values of all counters and gauges and the counts of all timers.
     *
     * @param registry the metrics
     * @return values by metric name
     */
    public static Map<String, Object> values(MetricRegistry registry) {
        Map<String, Object> values = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
        registry.getTimers().forEach((name, timer) -> values.put(name + ".count", timer.getCount()));
        return values;
    }

    private static void appendSample(StringBuilder text, String name, String type, Object value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void appendSummary(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        for (double quantile : QUANTILES) {
            text.append(name).append("{quantile=\"").append(quantile).append("\"} ");
            text.append(snapshot.getValue(quantile) / NANOS_PER_SECOND).append('\n');
        }
        text.append(name).append("_count ").append(timer.getCount()).append('\n');
    }

    private static String prometheusName(String metric) {
        return "snipewind_" + metric.replaceAll("[^A-Za-z0-9]", "_");
    }
}
