package org.snipewind.coordination.target;

import java.util.Optional;

/**
 * The part of a {@link TargetState} that concerns other instances: what this instance has to tell them, and at which
 * rate they send to the target. Guarded by the lock of the target state.
 */
final class SharedTargetState {

    /** Time after which a request of another instance counts for 1/e in the rate. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 2_000;

    private int responses;
    private double serviceSumMillis;
    private int failures;
    private boolean hasNewReport;
    private double othersRatePerMilli;
    private long rateUpdatedMillis;

    void countResponse(double serviceMillis) {
        responses++;
        serviceSumMillis += serviceMillis;
    }

    void countFailure() {
        failures++;
    }

    void markReportNew() {
        hasNewReport = true;
    }

    /** Returns what this instance has learnt since the last call, empty if nothing. */
    Optional<TargetObservation> drain(String incarnation, ReportedLoad reportedLoad, long nowMillis) {
        Optional<ObservedLoad> load = hasNewReport ? reportedLoad.forOthers(nowMillis) : Optional.empty();
        if (responses == 0 && failures == 0 && load.isEmpty()) {
            return Optional.empty();
        }
        double mean = responses == 0 ? 0 : serviceSumMillis / responses;
        TargetObservation observation = TargetObservation.of(incarnation, responses, mean, failures, load);
        responses = 0;
        serviceSumMillis = 0;
        failures = 0;
        hasNewReport = false;
        return Optional.of(observation);
    }

    /** Counts requests of other instances that have ended. */
    void recordOthers(int requests, long nowMillis) {
        othersRatePerMilli = othersRate(nowMillis) + requests / RATE_TIME_CONSTANT_MILLIS;
        rateUpdatedMillis = nowMillis;
    }

    /**
     * Estimates how many requests other instances have sent in a time and have in flight.
     *
     * @param sinceMillis time since the last load report
     * @param occupancyMillis time that a request takes
     */
    double othersInFlight(long nowMillis, long sinceMillis, double occupancyMillis) {
        return othersRatePerMilli == 0 ? 0 : othersRate(nowMillis) * Math.min(sinceMillis, occupancyMillis);
    }

    private double othersRate(long nowMillis) {
        return othersRatePerMilli * Math.exp((rateUpdatedMillis - nowMillis) / RATE_TIME_CONSTANT_MILLIS);
    }
}
