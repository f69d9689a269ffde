package org.snipewind.coordination.target;

/** The state of one life of a target at this instance; all methods are synchronized. */
public final class TargetState {

    /** Weight of the newest sample in the averages of service time and of failures. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** A load report says nothing of a queue that is many service times old. */
    private static final long REPORT_VALID_MILLIS = 250;

    /** A target that fails is tried again after this time, doubled with each further failure in a row. */
    private static final long FIRST_PAUSE_MILLIS = 200;

    private static final long LONGEST_PAUSE_MILLIS = 2_000;
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /** Time of an answer of a target before any target of its pool has answered. */
    static final double FIRST_ESTIMATE_MILLIS = 50;

    private TargetRegistration registration;
    private double meanResponseMillis = FIRST_ESTIMATE_MILLIS;
    private boolean sampled;
    private double failureShare;
    private int inFlight;
    private int failuresInRow;
    private long pausedUntilMillis;
    private long unansweringUntilMillis;
    private LoadReport report = new LoadReport(0, 0, 1, 1);
    private int inFlightAtReport;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private long coldUntilMillis;

    /**
     * Creates the state of a target that was just learned.
     *
     * @param entry what the target says of itself
     * @param nowMillis present time
     */
    public TargetState(TargetRegistration entry, long nowMillis) {
        this.registration = entry;
        this.coldUntilMillis = nowMillis + entry.coldStartRemainingMillis();
    }

    /**
     * Gives the newest entry of the target.
     *
     * @return the entry
     */
    public synchronized TargetRegistration registration() {
        return registration;
    }

    /**
     * Takes a newer entry of the same life.
     *
     * @param newer what the target says of itself now
     * @param nowMillis present time
     */
    public synchronized void update(TargetRegistration newer, long nowMillis) {
        registration = newer;
        if (newer.coldStartRemainingMillis() > 0) {
            coldUntilMillis = Math.max(coldUntilMillis, nowMillis + newer.coldStartRemainingMillis());
        }
    }

    /** Counts a request that is about to be sent. */
    public synchronized void onRequestSent() {
        inFlight++;
    }

    /** Counts the end of a request, whatever its outcome. */
    public synchronized void onRequestEnded() {
        inFlight--;
    }

    /**
     * Takes the time of an answer into the average.
     *
     * @param millis time from sending to the whole answer
     */
    public synchronized void onResponse(double millis) {
        failuresInRow = 0;
        unansweringUntilMillis = 0;
        failureShare *= 1 - SAMPLE_WEIGHT;
        // The average starts at the first sample, so that a fast target is not hidden behind the first estimate.
        meanResponseMillis = sampled ? meanResponseMillis + SAMPLE_WEIGHT * (millis - meanResponseMillis) : millis;
        sampled = true;
    }

    /**
     * Counts a request that the target answered with a refusal or a failure of its own.
     *
     * @param nowMillis present time
     */
    public synchronized void onErrorResponse(long nowMillis) {
        countFailure(nowMillis, false);
    }

    /**
     * Counts a request that got no answer.
     *
     * @param nowMillis present time
     * @param unreachable whether the connection failed, which pauses the target at once
     */
    public synchronized void onNoResponse(long nowMillis, boolean unreachable) {
        countFailure(nowMillis, unreachable);
        unansweringUntilMillis = pausedUntilMillis;
    }

    private void countFailure(long nowMillis, boolean unreachable) {
        failuresInRow++;
        failureShare += SAMPLE_WEIGHT * (1 - failureShare);
        if (unreachable || failuresInRow >= FAILURES_BEFORE_PAUSE) {
            int doublings = Math.min(failuresInRow - 1, 4);
            pausedUntilMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings);
        }
    }

    /**
     * Takes a load report.
     *
     * @param newReport load that came with an answer
     * @param nowMillis present time
     */
    public synchronized void onLoadReport(LoadReport newReport, long nowMillis) {
        report = newReport;
        inFlightAtReport = inFlight;
        reportedAtMillis = nowMillis;
    }

    /**
     * Takes word that the target is in cold start.
     *
     * @param remainingMillis how much longer, 0 if it is not
     * @param nowMillis present time
     */
    public synchronized void setColdStartRemaining(long remainingMillis, long nowMillis) {
        coldUntilMillis = nowMillis + remainingMillis;
    }

    /**
     * Tells whether the target is in cold start.
     *
     * @param nowMillis present time
     * @return true while the target bears only few requests
     */
    public synchronized boolean isColdStarting(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Tells whether requests should go elsewhere for a moment.
     *
     * @param nowMillis present time
     * @return true while the target is paused after failures
     */
    public synchronized boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /**
     * Tells whether the target is paused because it did not answer. Where no other target may run a request, one that
     * refuses a part of its requests is still worth asking, and one that does not answer is not.
     *
     * @param nowMillis present time
     * @return true while the target is taken to be unreachable
     */
    public synchronized boolean isUnresponsive(long nowMillis) {
        return nowMillis < unansweringUntilMillis;
    }

    /**
     * Tells whether the target has answered a request of this instance.
     *
     * @return true once its time of an answer is known
     */
    synchronized boolean isSampled() {
        return sampled;
    }

    /**
     * Gives the number of own requests at the target.
     *
     * @return requests that were sent and have not ended
     */
    public synchronized int inFlight() {
        return inFlight;
    }

    /**
     * Gives the average time of an answer.
     *
     * @return milliseconds
     */
    public synchronized double meanResponseMillis() {
        return meanResponseMillis;
    }

    /**
     * Estimates how long a request sent now would take, counting failures as lost time.
     *
     * @param nowMillis present time
     * @return milliseconds
     */
    public synchronized double expectedResponseMillis(long nowMillis) {
        return expectedResponseMillis(nowMillis, meanResponseMillis);
    }

    /**
     * Estimates how long a request sent now would take, counting failures as lost time.
     *
     * @param nowMillis present time
     * @param typicalMillis time of an answer that counts as long as the target has given none
     * @return milliseconds
     */
    synchronized double expectedResponseMillis(long nowMillis, double typicalMillis) {
        double service = sampled ? meanResponseMillis : typicalMillis;
        double slowdown = isReportFresh(nowMillis) ? Math.max(1, report.slowdown()) : 1;
        double queued = Math.max(1, (load(nowMillis) + 1) / Math.max(1, registration.slots()));
        return service * queued * slowdown / Math.max(0.05, 1 - failureShare);
    }

    /**
     * Tells whether own requests and the newest report fill the target's queue.
     *
     * @param nowMillis present time
     * @param queueFactor waiting requests for each slot up to which the target is used
     * @return true if one more request would wait too long or be refused
     */
    public synchronized boolean isFull(long nowMillis, double queueFactor) {
        return load(nowMillis) >= registration.slots() * (1 + queueFactor);
    }

    private boolean isReportFresh(long nowMillis) {
        return nowMillis - reportedAtMillis <= REPORT_VALID_MILLIS;
    }

    /** Gives the work of other instances at the time of a fresh report, plus the change of the own work since then. */
    private double load(long nowMillis) {
        return isReportFresh(nowMillis)
                ? Math.max(inFlight, report.running() + report.waiting() + inFlight - inFlightAtReport)
                : inFlight;
    }
}
