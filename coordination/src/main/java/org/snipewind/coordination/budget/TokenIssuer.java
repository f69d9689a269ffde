package org.snipewind.coordination.budget;

import java.util.Comparator;
import java.util.Iterator;
import java.util.PriorityQueue;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Issues the tokens of one budget. It bounds the use of tokens, not only their issue.
 *
 * <p>An instance may use a token at any time within the lifetime of the token. The issuer therefore counts a token as
 * outstanding for a whole lifetime and only then as used. Uses fill a leaky bucket that drains at the rate of the
 * budget. A token is issued only if the outstanding tokens and the level of the bucket together stay within the burst.
 * For every window [a, b] the uses come from tokens issued in (a - lifetime, b], and the sum of outstanding tokens and
 * level is the largest excess of such issues over rate x (b - a), so the uses never exceed burst + rate x (b - a). A
 * successor starts with a full bucket, one token lifetime after the last token of its predecessor was issued.
 *
 * <p>All methods are synchronized.
 */
public final class TokenIssuer {

    /** Longest retry time in a grant, so that instances notice a change of the rate. */
    private static final long MAX_RETRY_MILLIS = 60_000;

    private final MillisClock clock;
    private final long tokenLifetimeMillis;
    private final long activeFromMillis;
    private final PriorityQueue<Batch> outstanding =
            new PriorityQueue<>(Comparator.comparingLong(Batch::expiresAtMillis));
    private double ratePerSecond;
    private double burst;
    private double bucketLevel;
    private long drainedAtMillis;

    /**
     * Creates an issuer of tokens with the default lifetime.
     *
     * @param clock the clock that refills the budget
     * @param ratePerSecond tokens per second for the whole fleet, not negative
     * @param burst tokens that may be used at once in the whole fleet, not negative
     * @param activeFromMillis clock reading before which no token is issued; after a takeover at least
     *     {@link BudgetRules#TOKEN_LIFETIME_MILLIS} after the time at which the predecessor has certainly stopped
     * @param startsFull whether the whole burst is available at once; only true for the first issuer of a budget
     */
    public TokenIssuer(MillisClock clock, double ratePerSecond, int burst, long activeFromMillis, boolean startsFull) {
        this(clock, ratePerSecond, burst, activeFromMillis, startsFull, BudgetRules.TOKEN_LIFETIME_MILLIS);
    }

    /**
     * Creates an issuer of tokens with another lifetime.
     *
     * @param clock the clock that refills the budget
     * @param ratePerSecond tokens per second for the whole fleet, not negative
     * @param burst tokens that may be used at once in the whole fleet, not negative
     * @param activeFromMillis clock reading before which no token is issued, and from which the budget refills
     * @param startsFull whether the whole burst is available at once
     * @param tokenLifetimeMillis lifetime of a token, the same as in every {@link TokenCache} of the budget
     */
    public TokenIssuer(
            MillisClock clock,
            double ratePerSecond,
            double burst,
            long activeFromMillis,
            boolean startsFull,
            long tokenLifetimeMillis) {
        this.tokenLifetimeMillis = tokenLifetimeMillis;
        BudgetRules.requireNotNegative(ratePerSecond, burst);
        this.clock = clock;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.activeFromMillis = activeFromMillis;
        this.bucketLevel = startsFull ? 0 : burst;
        // No token was issued before the first request, so the bucket drains from the start of the term on.
        this.drainedAtMillis = activeFromMillis;
    }

    /**
     * Issues tokens.
     *
     * @param wanted maximum number of tokens to issue
     * @return the tokens issued and when to request more
     */
    public TokenGrant issue(int wanted) {
        return issue(wanted, tokenLifetimeMillis);
    }

    /**
     * Issues tokens that are used within a shorter time, so that they reduce the available budget for less long.
     *
     * @param wanted maximum number of tokens to issue
     * @param lifetimeMillis time after the sending of the request in which the tokens are used
     * @return the tokens issued and when to request more
     */
    public synchronized TokenGrant issue(int wanted, long lifetimeMillis) {
        long now = clock.nowMillis();
        if (now < activeFromMillis) {
            return new TokenGrant(0, activeFromMillis - now);
        }
        advanceTo(now);
        int tokens = (int) Math.max(0, Math.min(wanted, Math.floor(burst - bucketLevel - outstandingTokens())));
        if (tokens > 0) {
            outstanding.add(new Batch(now + Math.min(lifetimeMillis, tokenLifetimeMillis), tokens));
        }
        return new TokenGrant(tokens, tokens >= wanted ? 0 : millisUntilNextToken(now));
    }

    /**
     * Changes rate and burst in one step; the budget is first refilled at the old rate up to now.
     *
     * @param rate new number of tokens per second, not negative
     * @param newBurst new number of tokens that may be used at once, not negative
     */
    public synchronized void configure(double rate, double newBurst) {
        BudgetRules.requireNotNegative(rate, newBurst);
        advanceTo(clock.nowMillis());
        ratePerSecond = rate;
        burst = newBurst;
        bucketLevel = Math.min(bucketLevel, newBurst);
    }

    /**
     * Returns whether instances may prefetch tokens.
     *
     * @return true if {@link BudgetRules#prefetchMillis} is positive
     */
    public synchronized boolean prefetchAllowed() {
        return BudgetRules.prefetchMillis(ratePerSecond, burst, tokenLifetimeMillis) > 0;
    }

    /** Moves expired tokens into the bucket and drains it up to a time. */
    private void advanceTo(long now) {
        while (!outstanding.isEmpty() && outstanding.peek().expiresAtMillis() <= now) {
            Batch batch = outstanding.remove();
            drain(batch.expiresAtMillis());
            bucketLevel += batch.tokens();
        }
        drain(now);
    }

    private void drain(long untilMillis) {
        if (untilMillis > drainedAtMillis) {
            bucketLevel = Math.max(0, bucketLevel - (untilMillis - drainedAtMillis) * ratePerSecond / 1_000);
            drainedAtMillis = untilMillis;
        }
    }

    private int outstandingTokens() {
        return outstanding.stream().mapToInt(Batch::tokens).sum();
    }

    private long millisUntilNextToken(long now) {
        double level = bucketLevel;
        double unexpiredTokens = outstandingTokens();
        double atMillis = now;
        Iterator<Batch> batches = outstanding.stream()
                .sorted(Comparator.comparingLong(Batch::expiresAtMillis))
                .iterator();
        while (true) {
            Batch next = batches.hasNext() ? batches.next() : null;
            double excess = level + unexpiredTokens - (burst - 1);
            double waitMillis = excess <= 0 ? 0 : excess <= level ? excess * 1_000 / ratePerSecond : Double.MAX_VALUE;
            if (next == null || atMillis + waitMillis <= next.expiresAtMillis()) {
                return (long) Math.max(1, Math.min(MAX_RETRY_MILLIS, Math.ceil(atMillis + waitMillis - now)));
            }
            double elapsedMillis = next.expiresAtMillis() - atMillis;
            level = Math.max(0, level - elapsedMillis * ratePerSecond / 1_000) + next.tokens();
            unexpiredTokens -= next.tokens();
            atMillis = next.expiresAtMillis();
        }
    }

    private record Batch(long expiresAtMillis, int tokens) {}
}
