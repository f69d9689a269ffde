package org.snipewind.coordination.hedging;

/**
 * Recent evidence whether a pool as a whole is loaded or slow, from the responses to this instance. Older evidence
 * counts less and less. Not thread-safe.
 */
final class PoolCondition {

    /**
     * Time constant with which evidence fades. With 2 s, instances with 5 requests per second still sent some attempts
     * 1 s after all targets had become slow.
     */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    /** Fraction of the evidence above which the pool counts as loaded; usually a fifth of the targets are slow. */
    private static final double LOADED_FRACTION = 0.4;

    /** Evidence, in requests, below which a single slow request could decide. */
    private static final double MIN_EVIDENCE = 1.5;

    private final DecayingFraction busyReports = new DecayingFraction();
    private final DecayingFraction overdueRequests = new DecayingFraction();

    void recordReport(boolean busy, long nowMillis) {
        busyReports.add(busy, nowMillis);
    }

    void recordOverdue(boolean overdue, long nowMillis) {
        overdueRequests.add(overdue, nowMillis);
    }

    boolean hasFreeCapacity(long nowMillis) {
        return !busyReports.isMostlyTrue(nowMillis) && !overdueRequests.isMostlyTrue(nowMillis);
    }

    private static final class DecayingFraction {
        private double trueWeight;
        private double totalWeight;
        private long updatedAtMillis;

        void add(boolean value, long nowMillis) {
            decay(nowMillis);
            totalWeight++;
            trueWeight += value ? 1 : 0;
        }

        boolean isMostlyTrue(long nowMillis) {
            decay(nowMillis);
            return totalWeight >= MIN_EVIDENCE && trueWeight > LOADED_FRACTION * totalWeight;
        }

        private void decay(long nowMillis) {
            double factor = Math.exp(-(nowMillis - updatedAtMillis) / TIME_CONSTANT_MILLIS);
            totalWeight *= factor;
            trueWeight *= factor;
            updatedAtMillis = nowMillis;
        }
    }
}
