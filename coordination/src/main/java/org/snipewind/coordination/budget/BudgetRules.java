package org.snipewind.coordination.budget;

/** Rules on which the issuer of a budget's tokens and the instances that use them must agree. */
public final class BudgetRules {

    /** Lifetime of a token; it has expired this long after the request for it was sent. */
    public static final long TOKEN_LIFETIME_MILLIS = 20;

    /**
     * Time for which an instance may use a token after the request for it was sent. Clock readings are truncated to
     * whole milliseconds, so two readings may differ by almost 1 ms less than the events were apart; an instance
     * therefore stops using a token 1 ms before it expires.
     */
    public static final long TOKEN_USABLE_MILLIS = TOKEN_LIFETIME_MILLIS - 1;

    private BudgetRules() {}

    /**
     * Returns the time that prefetched tokens may cover at the recent rate of use of an instance.
     *
     * <p>Issued tokens reduce the available budget until they expire. If the burst does not exceed the tokens of one
     * lifetime by at least one, prefetched tokens would be missing for requests that already wait for a token.
     *
     * @param ratePerSecond tokens per second of the budget
     * @param burst burst of the budget in tokens
     * @return milliseconds, 0 if prefetching is not allowed
     */
    public static long prefetchMillis(double ratePerSecond, double burst) {
        return prefetchMillis(ratePerSecond, burst, TOKEN_LIFETIME_MILLIS);
    }

    /**
     * Returns the time that prefetched tokens with another lifetime may cover at the recent rate of use.
     *
     * @param ratePerSecond tokens per second of the budget
     * @param burst burst of the budget in tokens
     * @param tokenLifetimeMillis lifetime of a token
     * @return milliseconds, 0 if prefetching is not allowed
     */
    public static long prefetchMillis(double ratePerSecond, double burst, long tokenLifetimeMillis) {
        return burst - ratePerSecond * tokenLifetimeMillis / 1_000 >= 1 ? tokenLifetimeMillis : 0;
    }

    static void requireNotNegative(double ratePerSecond, double capacity) {
        if (!(ratePerSecond >= 0) || !(capacity >= 0)) {
            throw new IllegalArgumentException("rate " + ratePerSecond + " or capacity " + capacity + " is negative");
        }
    }
}
