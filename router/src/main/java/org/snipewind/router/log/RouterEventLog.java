package org.snipewind.router.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Logs events, including decisions with their inputs. Each kind of event is rate-limited, and suppressed lines are
 * counted and reported.
 */
public final class RouterEventLog {

    /** Sustained rate of log lines per event, low enough to need little processor time. */
    private static final double LINES_PER_SECOND = 3;

    /** Log lines per event that may be written at once. */
    private static final double BURST_LINES = 20;

    private final System.Logger logger = System.getLogger("org.snipewind.router");
    private final String instance;
    private final Map<RouterEvent, TokenBucket> limiters = new EnumMap<>(RouterEvent.class);
    private final Map<RouterEvent, Integer> suppressedCounts = new EnumMap<>(RouterEvent.class);

    /**
     * Creates a log.
     *
     * @param instance name of this instance, included in each line
     * @param clock clock for the rate limits
     */
    public RouterEventLog(String instance, MillisClock clock) {
        this.instance = instance;
        for (RouterEvent event : RouterEvent.values()) {
            limiters.put(event, new TokenBucket(clock, LINES_PER_SECOND, BURST_LINES, BURST_LINES));
        }
    }

    /**
     * Writes an event, or only counts it if its rate limit is exceeded.
     *
     * @param event the event
     * @param detail inputs, their age or version, and the outcome; evaluated only if the line is written
     */
    public void write(RouterEvent event, Supplier<String> detail) {
        int suppressedCount;
        synchronized (suppressedCounts) {
            if (limiters.get(event).take(1) == 0) {
                suppressedCounts.merge(event, 1, Integer::sum);
                return;
            }
            Integer count = suppressedCounts.remove(event);
            suppressedCount = count == null ? 0 : count;
        }
        if (suppressedCount > 0) {
            writeLine(RouterEvent.LINES_LEFT_OUT, event.wireName() + " lines=" + suppressedCount);
        }
        writeLine(event, detail.get());
    }

    private void writeLine(RouterEvent event, String detail) {
        logger.log(event.level(), event.code() + " " + event.wireName() + " " + instance + ": " + detail);
    }
}
