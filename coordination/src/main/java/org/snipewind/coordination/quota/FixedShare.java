package org.snipewind.coordination.quota;

import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.Organisation;

/** An instance's fixed share of one organisation's rate and burst; all methods are synchronized. */
public final class FixedShare {

    private final MillisClock clock;
    private final long startedAtMillis;
    private TokenBucket bucket;
    private boolean configured;

    /**
     * Creates a share that was empty when the process started, so that a restart adds no tokens: the former process may
     * have used all of its tokens up to its end. Tokens accrue from the start of the process, as none have been used
     * since then.
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
     * Applies a limit and a fleet size, at first or after a change.
     *
     * @param organisation the organisation with its limit
     * @param fleetSize number of instances that have a share
     */
    public synchronized void configure(Organisation organisation, int fleetSize) {
        double fraction = QuotaSplit.fixedFraction(organisation, fleetSize) / Math.max(1, fleetSize);
        if (!configured) {
            configured = true;
            double accruedTokens =
                    (clock.nowMillis() - startedAtMillis) * organisation.ratePerSecond() * fraction / 1_000;
            bucket = new TokenBucket(
                    clock, organisation.ratePerSecond() * fraction, organisation.burst() * fraction, accruedTokens);
            return;
        }
        bucket.reconfigure(organisation.ratePerSecond() * fraction, organisation.burst() * fraction);
    }

    /**
     * Returns whether the share has a token, without taking it.
     *
     * @return true if {@link #tryAcquire()} would succeed
     */
    public synchronized boolean hasToken() {
        return bucket.millisUntil(1) == 0;
    }

    /**
     * Takes a token for one request if there is one.
     *
     * @return false if the share has no token left
     */
    public synchronized boolean tryAcquire() {
        return bucket.take(1) == 1;
    }
}
