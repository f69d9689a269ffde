package org.snipewind.coordination.target;

import java.util.Optional;

/**
 * What one or several instances have learnt about a target from its responses in a short time.
 *
 * @param target number of the target's incarnation, see {@link #numberOf}
 * @param responses number of responses
 * @param serviceTenths their mean service time, without waiting and slowdown, in tenths of a millisecond
 * @param failures number of rejections, errors and missing responses
 * @param load the newest load report, empty if there is no new one
 */
public record TargetObservation(
        int target, int responses, int serviceTenths, int failures, Optional<ObservedLoad> load) {

    private static final double TENTHS_PER_MILLI = 10;

    /**
     * Returns the number by which instances name an incarnation. Each instance derives it from the registration, so
     * that the incarnation need not be sent. Two of 200 targets have the same number in about one of 200,000 fleets;
     * instances then share nothing about either.
     *
     * @param incarnation the incarnation
     * @return a hash
     */
    public static int numberOf(String incarnation) {
        return incarnation.hashCode();
    }

    static TargetObservation of(
            String incarnation, int responses, double serviceMillis, int failures, Optional<ObservedLoad> load) {
        int tenths = (int) Math.round(serviceMillis * TENTHS_PER_MILLI);
        return new TargetObservation(numberOf(incarnation), responses, tenths, failures, load);
    }

    /**
     * Returns the mean service time.
     *
     * @return milliseconds
     */
    public double serviceMillis() {
        return serviceTenths / TENTHS_PER_MILLI;
    }

    /** Returns this observation with the load report that it has at a later time, if it is not stale by then. */
    TargetObservation aged(long millis) {
        return new TargetObservation(
                target,
                responses,
                serviceTenths,
                failures,
                load.map(report -> report.aged(millis))
                        .filter(report -> report.ageMillis() <= ReportedLoad.SHARED_LIFETIME_MILLIS));
    }

    /** Adds an observation of the same target by another instance. */
    TargetObservation merge(TargetObservation other) {
        int count = responses + other.responses;
        long tenths = (long) responses * serviceTenths + (long) other.responses * other.serviceTenths;
        Optional<ObservedLoad> newest = load.isEmpty()
                        || other.load.isPresent()
                                && other.load.get().ageMillis() < load.get().ageMillis()
                ? other.load
                : load;
        return new TargetObservation(
                target, count, count == 0 ? 0 : (int) (tenths / count), failures + other.failures, newest);
    }
}
