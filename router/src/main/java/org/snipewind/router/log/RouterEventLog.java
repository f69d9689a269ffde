package org.snipewind.router.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;

/** Writes decisions with the inputs that led to them; each event has a limit, and what is left out is counted. */
public final class RouterEventLog {

    /** Lines a second of one event that are written in the long run, low enough for a small processor share. */
    private static final double LINES_PER_SECOND = 3;

    private static final double LINES_AT_ONCE = 20;

    private final System.Logger logger = System.getLogger("org.snipewind.router");
    private final String instance;
    private final Map<RouterEvent, TokenBucket> limits = new EnumMap<>(RouterEvent.class);
    private final Map<RouterEvent, Integer> leftOut = new EnumMap<>(RouterEvent.class);

    /**
     * Creates a log.
     *
     * @param instance name of this instance, which each line carries
     * @param clock the clock of the limits
     */
    public RouterEventLog(String instance, MillisClock clock) {
        this.instance = instance;
        for (RouterEvent event : RouterEvent.values()) {
            limits.put(event, new TokenBucket(clock, LINES_PER_SECOND, LINES_AT_ONCE, LINES_AT_ONCE));
        }
    }

    /**
     * Writes an event, or counts it if there were too many.
     *
     * @param event the event
     * @param detail inputs, their age or version, and the outcome; asked for only if the line is written
     */
    public void write(RouterEvent event, Supplier<String> detail) {
        int missing;
        synchronized (leftOut) {
            if (limits.get(event).take(1) == 0) {
                leftOut.merge(event, 1, Integer::sum);
                return;
            }
            Integer count = leftOut.remove(event);
            missing = count == null ? 0 : count;
        }
        if (missing > 0) {
            line(RouterEvent.LINES_LEFT_OUT, event.wireName() + " lines=" + missing);
        }
        line(event, detail.get());
    }

    private void line(RouterEvent event, String detail) {
        logger.log(event.level(), event.code() + " " + event.wireName() + " " + instance + ": " + detail);
    }
}
