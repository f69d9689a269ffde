package org.snipewind.coordination.quota;

import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.Organisation;

/** An instance's fixed part of one organisation's rate and burst; all methods are synchronized by their bucket. */
public final class FixedShare {

    private final TokenBucket bucket;

    /**
     * Creates a share without tokens, so that a restart adds none.
     *
     * @param clock the clock that refills the share
     */
    public FixedShare(MillisClock clock) {
        this.bucket = new TokenBucket(clock, 0, 0, 0);
    }

    /**
     * Takes a changed limit or fleet size into account.
     *
     * @param organisation the organisation with its limit
     * @param fleetSize number of instances that have a share
     */
    public void configure(Organisation organisation, int fleetSize) {
        double part = QuotaRules.fixedPart(organisation, fleetSize) / Math.max(1, fleetSize);
        bucket.reconfigure(organisation.ratePerSecond() * part, organisation.burst() * part);
    }

    /**
     * Takes the right to run one request.
     *
     * @return false if the share is used up
     */
    public boolean tryTake() {
        return bucket.take(1) == 1;
    }
}
