package org.snipewind.coordination.target;

/**
 * A load report of a target as instances pass it on.
 *
 * @param ageMillis time since the report was received from the target
 * @param running number of requests that were running
 * @param waiting number of requests that waited for a slot
 * @param slots number of requests that can run concurrently
 * @param slowdownPercent slowdown of the target's machine, 100 for none
 */
public record ObservedLoad(int ageMillis, int running, int waiting, int slots, int slowdownPercent) {

    private static final int PERCENT = 100;

    /** Returns a report as it is passed on. */
    static ObservedLoad of(LoadReport report, long ageMillis) {
        return new ObservedLoad(
                (int) Math.min(Integer.MAX_VALUE, ageMillis), report.running(), report.waiting(), report.slots(), (int)
                        Math.round(report.slowdown() * PERCENT));
    }

    /** Returns the report. */
    LoadReport report() {
        return new LoadReport(running, waiting, slots, slowdownPercent / (double) PERCENT);
    }

    /** Returns this report at a later time. */
    ObservedLoad aged(long millis) {
        return new ObservedLoad(
                (int) Math.min(Integer.MAX_VALUE, ageMillis + millis), running, waiting, slots, slowdownPercent);
    }
}
