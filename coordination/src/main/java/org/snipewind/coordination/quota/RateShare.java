package org.snipewind.coordination.quota;

import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;

/** An instance's part of one organisation's rate and burst; all methods are synchronized. */
public final class RateShare {

    /** Time over which the demand is averaged. */
    private static final double DEMAND_MEMORY_MILLIS = 1_000;

    private final MillisClock clock;
    private final TokenBucket bucket;
    private double ratePerSecond;
    private double burst;
    private int fleetSize;
    private double lentPerSecond;
    private long lentUntilMillis;
    private double demandPerSecond;
    private long demandAtMillis;

    /**
     * Creates a share without tokens, so that a restart adds none.
     *
     * @param clock the clock of rate and loans
     * @param ratePerSecond the organisation's rate
     * @param burst the organisation's burst
     * @param fleetSize number of instances that have a fixed part
     */
    public RateShare(MillisClock clock, double ratePerSecond, double burst, int fleetSize) {
        this.clock = clock;
        this.bucket = new TokenBucket(clock, 0, 0, 0);
        this.demandAtMillis = clock.nowMillis();
        configure(ratePerSecond, burst, fleetSize);
    }

    /**
     * Takes a changed limit or fleet size into account; the loan ends if the rate changed, since it came from the old one.
     *
     * @param newRate the organisation's rate
     * @param newBurst the organisation's burst
     * @param newFleetSize number of instances that have a fixed part
     */
    public synchronized void configure(double newRate, double newBurst, int newFleetSize) {
        if (newRate != ratePerSecond || newBurst != burst) {
            lentPerSecond = 0;
        }
        ratePerSecond = newRate;
        burst = newBurst;
        fleetSize = Math.max(1, newFleetSize);
        adjust();
    }

    /**
     * Takes a loan in place of the present one.
     *
     * @param perSecond lent part of the rate
     * @param untilMillis time at which it ends
     */
    public synchronized void lend(double perSecond, long untilMillis) {
        lentPerSecond = perSecond;
        lentUntilMillis = untilMillis;
        adjust();
    }

    /**
     * Takes the right to run one request.
     *
     * @return false if the organisation is over its limit here
     */
    public synchronized boolean tryTake() {
        demandPerSecond = demand() + 1_000 / DEMAND_MEMORY_MILLIS;
        expire();
        return bucket.take(1) == 1;
    }

    /**
     * Tells when a request may be tried again.
     *
     * @return milliseconds until the next token at the present rate
     */
    public synchronized long millisUntilToken() {
        expire();
        return bucket.millisUntil(1);
    }

    /**
     * Gives the recent demand, including refused requests.
     *
     * @return requests a second
     */
    public synchronized double demand() {
        long now = clock.nowMillis();
        demandPerSecond *= Math.exp((demandAtMillis - now) / DEMAND_MEMORY_MILLIS);
        demandAtMillis = now;
        return demandPerSecond;
    }

    /**
     * Gives the loan in force.
     *
     * @return lent part of the rate, 0 once it has ended
     */
    public synchronized double lentPerSecond() {
        expire();
        return lentPerSecond;
    }

    private void expire() {
        if (lentPerSecond > 0 && clock.nowMillis() >= lentUntilMillis) {
            lentPerSecond = 0;
            adjust();
        }
    }

    private void adjust() {
        double own = ratePerSecond * QuotaRules.FIXED_SHARE / fleetSize + lentPerSecond;
        // The burst follows the rate, so that the bursts of all instances add up to the organisation's. Below one token
        // the bucket could never be used.
        bucket.reconfigure(own, Math.max(1, burst * own / ratePerSecond));
    }
}
