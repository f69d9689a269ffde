package org.snipewind.coordination.quota;

import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.Organisation;

/** An instance's fixed part of one organisation's rate and burst; all methods are synchronized. */
public final class FixedShare {

    private final MillisClock clock;
    private final long startedAtMillis;
    private TokenBucket bucket;
    private boolean configured;

    /**
     * Creates a share that had no tokens when the process started, so that a restart adds none: the former process may
     * have used all until its end, and none was used since.
     *
     * @param clock the clock that refills the share
     * @param startedAtMillis reading of the clock at the start of the process
     */
    public FixedShare(MillisClock clock, long startedAtMillis) {
        this.clock = clock;
        this.startedAtMillis = startedAtMillis;
        this.bucket = new TokenBucket(clock, 0, 0, 0);
    }

    /**
     * Takes a changed limit or fleet size into account.
     *
     * @param organisation the organisation with its limit
     * @param fleetSize number of instances that have a share
     */
    public synchronized void configure(Organisation organisation, int fleetSize) {
        double part = QuotaSplit.fixedFraction(organisation, fleetSize) / Math.max(1, fleetSize);
        if (!configured) {
            configured = true;
            double refilled = (clock.nowMillis() - startedAtMillis) * organisation.ratePerSecond() * part / 1_000;
            bucket = new TokenBucket(clock, organisation.ratePerSecond() * part, organisation.burst() * part, refilled);
            return;
        }
        bucket.reconfigure(organisation.ratePerSecond() * part, organisation.burst() * part);
    }

    /**
     * Takes the right to run one request.
     *
     * @return false if the share is used up
     */
    public synchronized boolean tryAcquire() {
        return bucket.take(1) == 1;
    }
}
