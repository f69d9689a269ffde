package org.snipewind.router;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.RouterMetrics;

/**
 * Writes at a fixed interval what the instance did, so that a failure can be explained from the log alone: processor
 * time and the growth of each counter since the last line. Belongs to the control loop.
 */
final class ActivityLog {

    /** Time between lines: one line is cheap, and a failure of a few seconds still shows. */
    static final long INTERVAL_MILLIS = 5_000;

    private final RouterMetrics metrics;
    private final RouterEventLog log;
    private final MillisClock clock;
    private final Map<String, Long> written = new HashMap<>();
    private long writtenAtMillis;
    private long processorMillis;

    ActivityLog(RouterMetrics metrics, RouterEventLog log, MillisClock clock) {
        this.metrics = metrics;
        this.log = log;
        this.clock = clock;
        this.writtenAtMillis = clock.nowMillis();
    }

    /** Writes a line for the time since the last one. */
    void write() {
        Map<String, Long> grown = new TreeMap<>();
        metrics.registry().getCounters().forEach((name, counter) -> addGrowth(grown, name, counter));
        long now = clock.nowMillis();
        long interval = now - writtenAtMillis;
        writtenAtMillis = now;
        String processor = processorSince();
        log.write(RouterEvent.INSTANCE_ACTIVITY, () -> {
            StringBuilder line = new StringBuilder("interval=" + interval + "ms processor=" + processor);
            grown.forEach(
                    (name, growth) -> line.append(' ').append(name).append('=').append(growth.longValue()));
            return line.toString();
        });
    }

    /** Not every platform tells a process of its processor time; the lateness of the loops shows a lack of it too. */
    private String processorSince() {
        Optional<Duration> total = ProcessHandle.current().info().totalCpuDuration();
        if (total.isEmpty() || total.get().isZero()) {
            return "unknown";
        }
        long before = processorMillis;
        processorMillis = total.get().toMillis();
        return (processorMillis - before) + "ms";
    }

    private void addGrowth(Map<String, Long> grown, String name, Counter counter) {
        long count = counter.getCount();
        long before = written.getOrDefault(name, 0L);
        if (count != before) {
            written.put(name, count);
            grown.put(name, count - before);
        }
    }
}
