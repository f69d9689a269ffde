package org.snipewind.coordination.budget;

/** Rules that keeper and entry derive alike from a budget's rate and burst. */
public final class BudgetRules {

    /** Milliseconds after the sending of a token request by which every token issued for it has expired. */
    public static final long TOKEN_LIFETIME_MILLIS = 20;

    /**
     * Milliseconds for which an entry uses a token. Clock readings are truncated, so two readings may lie almost 1 ms
     * closer together than the events; the entry stops that much earlier.
     */
    public static final long TOKEN_USABLE_MILLIS = TOKEN_LIFETIME_MILLIS - 1;

    private BudgetRules() {}

    /**
     * Tells how much of the recent rate an entry may fetch in advance.
     *
     * <p>Issued tokens block the budget until they expire. If the burst does not exceed the tokens of one token life by
     * at least one, tokens fetched in advance would take the place of waiting requests.
     *
     * @param ratePerSecond rate of the budget
     * @param burst burst of the budget
     * @return milliseconds of the recent rate, 0 if nothing may be fetched in advance
     */
    public static long prefetchMillis(double ratePerSecond, int burst) {
        return prefetchMillis(ratePerSecond, burst, TOKEN_LIFETIME_MILLIS);
    }

    /**
     * Tells how much of the recent rate an entry may fetch in advance of tokens with another life.
     *
     * @param ratePerSecond rate of the budget
     * @param burst burst of the budget
     * @param tokenLifeMillis life of a token
     * @return milliseconds of the recent rate, 0 if nothing may be fetched in advance
     */
    public static long prefetchMillis(double ratePerSecond, int burst, long tokenLifeMillis) {
        return burst - ratePerSecond * tokenLifeMillis / 1_000 >= 1 ? tokenLifeMillis : 0;
    }

    static void requireNotNegative(double ratePerSecond, double capacity) {
        if (!(ratePerSecond >= 0) || !(capacity >= 0)) {
            throw new IllegalArgumentException("rate " + ratePerSecond + " or capacity " + capacity + " is negative");
        }
    }
}
