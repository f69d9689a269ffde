package org.snipewind.router;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * Logs the activity of the instance at a fixed interval, so that a failure can be explained from the log alone: the
 * processor time, the view of the fleet by which it works, and the increase of each counter since the last line.
 * Confined to the control loop.
 */
final class ActivityLog {

    /** Time between lines, short enough to show a failure of a few seconds; a line costs little. */
    static final long INTERVAL_MILLIS = 5_000;

    private final ProcessMetrics metrics;
    private final RouterEventLog log;
    private final MillisClock clock;
    private final Supplier<String> viewDescription;
    private final Map<String, Long> lastCounts = new HashMap<>();
    private long lastWrittenMillis;
    private long lastProcessorMillis;

    ActivityLog(ProcessMetrics metrics, RouterEventLog log, MillisClock clock, Supplier<String> viewDescription) {
        this.metrics = metrics;
        this.log = log;
        this.clock = clock;
        this.viewDescription = viewDescription;
        this.lastWrittenMillis = clock.nowMillis();
    }

    /** Writes a line that covers the time since the last one. */
    void write() {
        Map<String, Long> increases = new TreeMap<>();
        metrics.registry().getCounters().forEach((name, counter) -> addIncrease(increases, name, counter));
        long nowMillis = clock.nowMillis();
        long intervalMillis = nowMillis - lastWrittenMillis;
        lastWrittenMillis = nowMillis;
        String processorTime = processorTimeSinceLastLine();
        log.write(RouterEvent.INSTANCE_ACTIVITY, () -> {
            StringBuilder line = new StringBuilder(
                    "interval=" + intervalMillis + "ms processor=" + processorTime + ' ' + viewDescription.get());
            increases.forEach((name, increase) ->
                    line.append(' ').append(name).append('=').append(increase.longValue()));
            return line.toString();
        });
    }

    /**
     * Returns the processor time that the process used since the last line. Not every platform provides it; the
     * lateness of the event loops also shows a lack of processor time.
     */
    private String processorTimeSinceLastLine() {
        Optional<Duration> total = ProcessHandle.current().info().totalCpuDuration();
        if (total.isEmpty() || total.get().isZero()) {
            return "unknown";
        }
        long previousMillis = lastProcessorMillis;
        lastProcessorMillis = total.get().toMillis();
        return (lastProcessorMillis - previousMillis) + "ms";
    }

    private void addIncrease(Map<String, Long> increases, String name, Counter counter) {
        long count = counter.getCount();
        long previousCount = lastCounts.getOrDefault(name, 0L);
        if (count != previousCount) {
            lastCounts.put(name, count);
            increases.put(name, count - previousCount);
        }
    }
}
