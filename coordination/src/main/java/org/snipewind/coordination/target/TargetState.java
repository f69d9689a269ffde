package org.snipewind.coordination.target;

import java.util.Optional;

/** What this instance knows about one incarnation of a target; all methods are synchronized. */
public final class TargetState {

    /** Weight of the newest sample in the moving averages of response time and failures. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** The same for samples of other instances, which are more, so that their average may be steadier. */
    private static final double SHARED_SAMPLE_WEIGHT = 0.08;

    /** Time for which a target is paused after failures; it doubles with each further consecutive failure. */
    private static final long INITIAL_PAUSE_MILLIS = 200;

    private static final long MAX_PAUSE_MILLIS = 2_000;
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /** Reported slowdown from which a target counts as slow; its usual spread of service times is smaller. */
    public static final double SLOW_FACTOR = 1.5;

    /** The clock counts whole milliseconds, so that a measured time can be 0. */
    private static final double MIN_SERVICE_MILLIS = 0.5;

    /** Assumed response time of a target as long as no target of its pool has responded. */
    static final double INITIAL_RESPONSE_MILLIS = 50;

    private final String incarnation;
    private TargetRegistration registration;
    private double meanServiceMillis = INITIAL_RESPONSE_MILLIS;
    private boolean hasResponseSample;
    private double failureFraction;
    private int inFlight;
    private long lastSentMillis = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private long pausedUntilMillis;
    private long unresponsiveUntilMillis;
    private final ReportedLoad reportedLoad = new ReportedLoad();
    private long coldStartUntilMillis;
    private final SharedTargetState shared = new SharedTargetState();
    private volatile long lastObservationMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the state of a target that was just discovered.
     *
     * @param registration the target's registration
     * @param nowMillis current time
     */
    public TargetState(TargetRegistration registration, long nowMillis) {
        this.registration = registration;
        this.incarnation = registration.incarnation();
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
     * Returns the incarnation of the target, see {@link TargetRegistration#incarnation()}.
     *
     * @return the incarnation
     */
    public String incarnation() {
        return incarnation;
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

    /**
     * Counts a request that is about to be sent.
     *
     * @param nowMillis current time
     */
    public synchronized void onRequestSent(long nowMillis) {
        inFlight++;
        lastSentMillis = nowMillis;
    }

    /** Counts a request that has ended, whatever its outcome. */
    public synchronized void onRequestEnded() {
        inFlight--;
    }

    /**
     * Records a response and adds its service time to the average. The load report of the response, if it has one, must
     * have been recorded before.
     *
     * @param responseMillis time from sending the request to receiving the whole response
     * @param nowMillis current time
     * @return the time for which the request occupied a slot, without its estimated time in the target's queue
     */
    public synchronized double onResponse(double responseMillis, long nowMillis) {
        consecutiveFailures = 0;
        unresponsiveUntilMillis = 0;
        failureFraction *= 1 - SAMPLE_WEIGHT;
        boolean reported = reportedLoad.ageMillis(nowMillis) == 0;
        LoadReport loadReport = reportedLoad.report();
        // While the queue is in a steady state, those that wait now are as many as those that waited before this one.
        double queueing = reported ? 1 + (double) loadReport.waiting() / slots() : 1;
        double occupiedMillis = responseMillis / queueing;
        double serviceMillis =
                Math.max(MIN_SERVICE_MILLIS, occupiedMillis / (reported ? Math.max(1, loadReport.slowdown()) : 1));
        // The first sample replaces the initial estimate, so that a fast target is recognised at once.
        meanServiceMillis = hasResponseSample
                ? meanServiceMillis + SAMPLE_WEIGHT * (serviceMillis - meanServiceMillis)
                : serviceMillis;
        hasResponseSample = true;
        shared.countResponse(serviceMillis);
        return occupiedMillis;
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
        shared.countFailure();
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
        reportedLoad.record(newReport, inFlight, nowMillis);
        shared.markReportNew();
    }

    /**
     * Returns what this instance has learnt about the target since the last call.
     *
     * @param nowMillis current time
     * @return the observation, empty if there is nothing new
     */
    public synchronized Optional<TargetObservation> drainObservation(long nowMillis) {
        return shared.drain(incarnation, reportedLoad, nowMillis);
    }

    /**
     * Merges what other instances have learnt about the target.
     *
     * @param observation their merged observation
     * @param nowMillis current time
     */
    public synchronized void onObservation(TargetObservation observation, long nowMillis) {
        lastObservationMillis = nowMillis;
        shared.recordOthers(observation.responses() + observation.failures(), nowMillis);
        if (observation.responses() > 0) {
            double serviceMillis = Math.max(MIN_SERVICE_MILLIS, observation.serviceMillis());
            double weight = hasResponseSample ? weightOf(observation.responses()) : 1;
            meanServiceMillis += weight * (serviceMillis - meanServiceMillis);
            hasResponseSample = true;
            failureFraction *= 1 - weightOf(observation.responses());
        }
        failureFraction += weightOf(observation.failures()) * (1 - failureFraction);
        if (observation.responses() == 0 && observation.failures() >= FAILURES_BEFORE_PAUSE) {
            pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + INITIAL_PAUSE_MILLIS);
        }
        observation
                .load()
                .ifPresent(load -> reportedLoad.recordShared(load, inFlightBefore(load, nowMillis), nowMillis));
    }

    /** Returns the time at which other instances last told something about the target. */
    long lastObservationMillis() {
        return lastObservationMillis;
    }

    /** Returns the requests in flight that are in a report; of those sent after it, only the newest is known. */
    private int inFlightBefore(ObservedLoad load, long nowMillis) {
        return lastSentMillis >= nowMillis - load.ageMillis() ? Math.max(0, inFlight - 1) : inFlight;
    }

    private static double weightOf(int samples) {
        return 1 - Math.pow(1 - SHARED_SAMPLE_WEIGHT, samples);
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
     * Returns the average time for which the target works on a request, without waiting and slowdown.
     *
     * @return milliseconds
     */
    public synchronized double meanServiceMillis() {
        return meanServiceMillis;
    }

    /**
     * Estimates the response time of a request sent now. Failures lengthen the estimate, as they cost time.
     *
     * @param nowMillis current time
     * @return milliseconds
     */
    public synchronized double expectedResponseMillis(long nowMillis) {
        return expectedResponseMillis(nowMillis, meanServiceMillis);
    }

    /**
     * Estimates the response time of a request sent now. Failures lengthen the estimate, as they cost time.
     *
     * @param nowMillis current time
     * @param defaultMillis response time assumed as long as the target has not responded
     * @return milliseconds
     */
    synchronized double expectedResponseMillis(long nowMillis, double defaultMillis) {
        double serviceMillis = (hasResponseSample ? meanServiceMillis : defaultMillis) * slowdown(nowMillis);
        double queueing = Math.max(1, (load(nowMillis) + 1) / slots());
        return serviceMillis * queueing / Math.max(0.05, 1 - failureFraction);
    }

    /**
     * Returns whether one more request may join the target's queue, judged by this instance's requests and the newest
     * load reports.
     *
     * <p>A short excess of requests is queued, up to a limit. If two reports in a row show a queue in which requests
     * exceed their time, it is a standing queue: every request would be answered late, although the target works
     * without a pause. Each instance then sends less than its share of the requests that the target can serve, in
     * proportion to the square of the excess, until the queue is short again.
     *
     * @param nowMillis current time
     * @param allowedMillis time within which the request should be answered
     * @param queuedPerSlot requests that may wait for each slot of the target
     * @param instances number of instances that send requests to the target
     * @return true if the request may be sent now
     */
    public synchronized boolean hasRoom(long nowMillis, double allowedMillis, double queuedPerSlot, int instances) {
        if (load(nowMillis) >= slots() * (1 + queuedPerSlot)) {
            return false;
        }
        return paceMillis(nowMillis, allowedMillis, instances) <= 0;
    }

    /** Returns the time until a standing queue permits this instance's next request, 0 or less if it does so now. */
    private double paceMillis(long nowMillis, double allowedMillis, int instances) {
        double standingLoad = reportedLoad.standing(nowMillis);
        // A momentary slowdown makes no standing queue, so the usual service time counts here.
        double excess = (standingLoad + 1) / usableLoad(allowedMillis, meanServiceMillis);
        double shareMillis = instances * meanServiceMillis / slots();
        return excess <= 1 ? 0 : shareMillis * excess * excess - (nowMillis - lastSentMillis);
    }

    /**
     * Returns whether a request sent now would be started at once, at the target's usual speed, as far as this instance
     * knows.
     *
     * @param nowMillis current time
     * @return true if a slot is free and the target is not slow
     */
    public synchronized boolean isFree(long nowMillis) {
        return load(nowMillis) + 1 <= slots() && slowdown(nowMillis) < SLOW_FACTOR;
    }

    /**
     * Returns the time until the queue of the newest load report has become short enough for one more request, provided
     * that no other requests are sent.
     *
     * @param nowMillis current time
     * @param allowedMillis time within which the request should be answered
     * @return milliseconds, at least the time in which the target responds to one request
     */
    public synchronized double millisUntilRoom(long nowMillis, double allowedMillis) {
        double occupancyMillis = meanServiceMillis * slowdown(nowMillis);
        double excess =
                Math.max(reportedLoad.total(nowMillis), inFlight) + 1 - usableLoad(allowedMillis, occupancyMillis);
        return Math.max(1, excess) * occupancyMillis / slots();
    }

    /**
     * Estimates the time until {@link #hasRoom} returns true, provided that this instance sends no other requests.
     *
     * @param nowMillis current time
     * @param allowedMillis time within which the request should be answered
     * @param queuedPerSlot requests that may wait for each slot of the target
     * @param instances number of instances that send requests to the target
     * @return milliseconds, 0 if there is room now
     */
    public synchronized double millisUntilRoom(
            long nowMillis, double allowedMillis, double queuedPerSlot, int instances) {
        if (hasRoom(nowMillis, allowedMillis, queuedPerSlot, instances)) {
            return 0;
        }
        double limit = slots() * (1 + queuedPerSlot);
        // The estimate of a reported load falls with time, this instance's own requests only with responses.
        double excessLoad = inFlight >= limit ? inFlight - limit + 1 : load(nowMillis) - limit;
        double queueMillis = Math.max(0, excessLoad) * meanServiceMillis / slots();
        return Math.max(1, Math.max(queueMillis, paceMillis(nowMillis, allowedMillis, instances)));
    }

    /** Returns the number of requests at the target, waiting ones included, of which the last is answered in time. */
    private double usableLoad(double allowedMillis, double occupancyMillis) {
        return Math.max(slots(), slots() * allowedMillis / occupancyMillis);
    }

    private int slots() {
        return Math.max(1, registration.slots());
    }

    private double slowdown(long nowMillis) {
        return reportedLoad.slowdown(nowMillis);
    }

    /**
     * Returns the number of requests at the target: those in the newest load report less those that it can have served
     * since then, plus the change of this instance's requests, and those that others are expected to have sent.
     */
    private double load(long nowMillis) {
        double remaining = reportedLoad.remaining(meanServiceMillis, slots(), inFlight, nowMillis);
        double others = shared.othersInFlight(nowMillis, reportedLoad.ageMillis(nowMillis), meanServiceMillis);
        return Math.max(inFlight, remaining) + others;
    }
}
