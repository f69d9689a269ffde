package org.snipewind.coordination.target;

/** What this instance knows about one incarnation of a target; all methods are synchronized. */
public final class TargetState {

    /** Weight of the newest sample in the moving averages of response time and failures. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** Time for which a load report is used; after many response times it no longer describes the target's queue. */
    private static final long REPORT_LIFETIME_MILLIS = 250;

    /** Time for which a target is paused after failures; it doubles with each further consecutive failure. */
    private static final long INITIAL_PAUSE_MILLIS = 200;

    private static final long MAX_PAUSE_MILLIS = 2_000;
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /** Assumed response time of a target as long as no target of its pool has responded. */
    static final double INITIAL_RESPONSE_MILLIS = 50;

    private TargetRegistration registration;
    private double meanResponseMillis = INITIAL_RESPONSE_MILLIS;
    private boolean hasResponseSample;
    private double failureFraction;
    private int inFlight;
    private int consecutiveFailures;
    private long pausedUntilMillis;
    private long unresponsiveUntilMillis;
    private LoadReport loadReport = new LoadReport(0, 0, 1, 1);
    private int inFlightAtReport;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private long coldStartUntilMillis;

    /**
     * Creates the state of a target that was just discovered.
     *
     * @param registration the target's registration
     * @param nowMillis current time
     */
    public TargetState(TargetRegistration registration, long nowMillis) {
        this.registration = registration;
        this.coldStartUntilMillis = nowMillis + registration.coldStartRemainingMillis();
    }

    /**
     * Returns the newest registration of the target.
     *
     * @return the registration
     */
    public synchronized TargetRegistration registration() {
        return registration;
    }

    /**
     * Applies a newer registration of the same incarnation.
     *
     * @param newer the target's newer registration
     * @param nowMillis current time
     */
    public synchronized void update(TargetRegistration newer, long nowMillis) {
        registration = newer;
        if (newer.coldStartRemainingMillis() > 0) {
            coldStartUntilMillis = Math.max(coldStartUntilMillis, nowMillis + newer.coldStartRemainingMillis());
        }
    }

    /** Counts a request that is about to be sent. */
    public synchronized void onRequestSent() {
        inFlight++;
    }

    /** Counts a request that has ended, whatever its outcome. */
    public synchronized void onRequestEnded() {
        inFlight--;
    }

    /**
     * Records a response and adds its time to the average.
     *
     * @param responseMillis time from sending the request to receiving the whole response
     */
    public synchronized void onResponse(double responseMillis) {
        consecutiveFailures = 0;
        unresponsiveUntilMillis = 0;
        failureFraction *= 1 - SAMPLE_WEIGHT;
        // The first sample replaces the initial estimate, so that a fast target is recognised at once.
        meanResponseMillis = hasResponseSample
                ? meanResponseMillis + SAMPLE_WEIGHT * (responseMillis - meanResponseMillis)
                : responseMillis;
        hasResponseSample = true;
    }

    /**
     * Records that the target responded with a rejection or an error.
     *
     * @param nowMillis current time
     */
    public synchronized void onErrorResponse(long nowMillis) {
        countFailure(nowMillis, false);
    }

    /**
     * Records that a request got no response.
     *
     * @param nowMillis current time
     * @param unreachable whether the connection failed, which pauses the target at the first failure
     */
    public synchronized void onNoResponse(long nowMillis, boolean unreachable) {
        countFailure(nowMillis, unreachable);
        unresponsiveUntilMillis = pausedUntilMillis;
    }

    private void countFailure(long nowMillis, boolean unreachable) {
        consecutiveFailures++;
        failureFraction += SAMPLE_WEIGHT * (1 - failureFraction);
        if (unreachable || consecutiveFailures >= FAILURES_BEFORE_PAUSE) {
            int doublings = Math.min(consecutiveFailures - 1, 4);
            pausedUntilMillis = nowMillis + Math.min(MAX_PAUSE_MILLIS, INITIAL_PAUSE_MILLIS << doublings);
        }
    }

    /**
     * Records a load report.
     *
     * @param newReport load report that came with a response
     * @param nowMillis current time
     */
    public synchronized void onLoadReport(LoadReport newReport, long nowMillis) {
        loadReport = newReport;
        inFlightAtReport = inFlight;
        reportedAtMillis = nowMillis;
    }

    /**
     * Sets the remaining time of the target's cold start.
     *
     * @param remainingMillis remaining time, 0 if the target is not in cold start
     * @param nowMillis current time
     */
    public synchronized void setColdStartRemaining(long remainingMillis, long nowMillis) {
        coldStartUntilMillis = nowMillis + remainingMillis;
    }

    /**
     * Returns whether the target is in cold start.
     *
     * @param nowMillis current time
     * @return true while the target can serve only few requests
     */
    public synchronized boolean isColdStarting(long nowMillis) {
        return nowMillis < coldStartUntilMillis;
    }

    /**
     * Returns whether requests should be sent to other targets for now.
     *
     * @param nowMillis current time
     * @return true while the target is paused after failures
     */
    public synchronized boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /**
     * Returns whether the target is paused because it did not respond. If no other target may run a request, it should
     * still be sent to a target that rejects some of its requests, but not to one that does not respond.
     *
     * @param nowMillis current time
     * @return true while the target is considered unresponsive
     */
    public synchronized boolean isUnresponsive(long nowMillis) {
        return nowMillis < unresponsiveUntilMillis;
    }

    /**
     * Returns whether the target has responded to a request of this instance.
     *
     * @return true once a response time is known
     */
    synchronized boolean hasResponded() {
        return hasResponseSample;
    }

    /**
     * Returns the number of this instance's requests at the target.
     *
     * @return number of requests that were sent and have not ended
     */
    public synchronized int inFlight() {
        return inFlight;
    }

    /**
     * Returns the average response time.
     *
     * @return milliseconds
     */
    public synchronized double meanResponseMillis() {
        return meanResponseMillis;
    }

    /**
     * Estimates the response time of a request sent now. Failures lengthen the estimate, as they cost time.
     *
     * @param nowMillis current time
     * @return milliseconds
     */
    public synchronized double expectedResponseMillis(long nowMillis) {
        return expectedResponseMillis(nowMillis, meanResponseMillis);
    }

    /**
     * Estimates the response time of a request sent now. Failures lengthen the estimate, as they cost time.
     *
     * @param nowMillis current time
     * @param defaultMillis response time assumed as long as the target has not responded
     * @return milliseconds
     */
    synchronized double expectedResponseMillis(long nowMillis, double defaultMillis) {
        double responseMillis = hasResponseSample ? meanResponseMillis : defaultMillis;
        double slowdown = isReportFresh(nowMillis) ? Math.max(1, loadReport.slowdown()) : 1;
        double queueing = Math.max(1, (load(nowMillis) + 1) / Math.max(1, registration.slots()));
        return responseMillis * queueing * slowdown / Math.max(0.05, 1 - failureFraction);
    }

    /**
     * Returns whether the target's queue is full, judged by this instance's requests and the newest load report.
     *
     * @param nowMillis current time
     * @param queueFactor waiting requests for each slot up to which the target is used
     * @return true if one more request would wait too long or be rejected
     */
    public synchronized boolean isFull(long nowMillis, double queueFactor) {
        return load(nowMillis) >= registration.slots() * (1 + queueFactor);
    }

    private boolean isReportFresh(long nowMillis) {
        return nowMillis - reportedAtMillis <= REPORT_LIFETIME_MILLIS;
    }

    /**
     * Returns the number of requests at the target: those in a recent load report plus the change of this instance's
     * requests since then, or without such a report this instance's requests only.
     */
    private double load(long nowMillis) {
        return isReportFresh(nowMillis)
                ? Math.max(inFlight, loadReport.running() + loadReport.waiting() + inFlight - inFlightAtReport)
                : inFlight;
    }
}
