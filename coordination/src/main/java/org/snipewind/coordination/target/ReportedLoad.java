package org.snipewind.coordination.target;

import java.util.Optional;

/** The newest load report of a target, by this or another instance. Guarded by the lock of the target state. */
final class ReportedLoad {

    /** Time for which a report of another instance is used; own reports are kept until the next one. */
    static final long SHARED_LIFETIME_MILLIS = 1_000;

    /** Time for which the slowdown in a load report is used; it changes many times per second. */
    private static final long SLOWDOWN_LIFETIME_MILLIS = 250;

    /**
     * Time after which the slowdown in a report of another instance has no effect. Such reports are some 250 ms old
     * when they are used, and slow moments last 400 ms, so that a slowdown becomes less likely with its age.
     */
    private static final double SLOWDOWN_FADE_MILLIS = 400;

    private static final LoadReport NO_LOAD = new LoadReport(0, 0, 1, 1);

    private LoadReport report = NO_LOAD;
    private double previousTotal;
    private int inFlightAtReport;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private boolean shared;

    /** Records a report that this instance has received. */
    void record(LoadReport newReport, int inFlight, long nowMillis) {
        previousTotal = total(nowMillis);
        report = newReport;
        inFlightAtReport = inFlight;
        reportedAtMillis = nowMillis;
        shared = false;
    }

    /**
     * Records a report of another instance, unless a newer one is known.
     *
     * @param inFlightThen requests that this instance had in flight when the target sent the report
     */
    void recordShared(ObservedLoad load, int inFlightThen, long nowMillis) {
        long receivedMillis = nowMillis - load.ageMillis();
        if (receivedMillis > reportedAtMillis && load.ageMillis() <= SHARED_LIFETIME_MILLIS) {
            previousTotal = total(nowMillis);
            report = load.report();
            inFlightAtReport = inFlightThen;
            reportedAtMillis = receivedMillis;
            shared = true;
        }
    }

    private boolean isExpired(long nowMillis) {
        return shared && ageMillis(nowMillis) > SHARED_LIFETIME_MILLIS;
    }

    LoadReport report() {
        return report;
    }

    /** Returns the report for other instances, empty if they have it or it is too old for them. */
    Optional<ObservedLoad> forOthers(long nowMillis) {
        return shared || ageMillis(nowMillis) > SHARED_LIFETIME_MILLIS
                ? Optional.empty()
                : Optional.of(ObservedLoad.of(report, ageMillis(nowMillis)));
    }

    long ageMillis(long nowMillis) {
        return nowMillis - reportedAtMillis;
    }

    /** Returns the requests at the target, running and waiting, according to the report. */
    double total(long nowMillis) {
        return isExpired(nowMillis) ? 0 : report.running() + report.waiting();
    }

    /** Returns the requests at the target that both of the last two reports show. */
    double standing(long nowMillis) {
        return Math.min(total(nowMillis), previousTotal);
    }

    /** Returns the slowdown of the target's machine now, 1 if it is not known to be slow. */
    double slowdown(long nowMillis) {
        long ageMillis = ageMillis(nowMillis);
        double reported = Math.max(1, report.slowdown());
        if (shared) {
            return 1 + (reported - 1) * Math.max(0, 1 - ageMillis / SLOWDOWN_FADE_MILLIS);
        }
        return ageMillis <= SLOWDOWN_LIFETIME_MILLIS ? reported : 1;
    }

    /** Returns the requests in the report that can't have been served since, plus the change of own requests. */
    double remaining(double serviceMillis, int slots, int inFlight, long nowMillis) {
        if (isExpired(nowMillis)) {
            return inFlight;
        }
        double served = ageMillis(nowMillis) / serviceMillis * slots;
        return Math.max(0, total(nowMillis) - served) + inFlight - inFlightAtReport;
    }
}
