package org.snipewind.coordination.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.snipewind.coordination.clock.MillisClock;

/**
 * The issuing side of one budget; it bounds the uses of tokens, not only their issue.
 *
 * <p>An entry may use a token at any time of its life. The keeper therefore counts a token as outstanding for a whole
 * life and only then as used, after which the use drains at the rate. It issues a token only if outstanding tokens and
 * undrained uses together stay within the burst. For every window [a, b] the uses come from tokens issued in
 * (a - life, b], and the keeper's sum is the largest excess of such issues over rate x (b - a), so the uses never
 * exceed burst + rate x (b - a). A successor starts with the whole burst undrained, one token life after the last
 * token of its predecessor.
 *
 * <p>All methods are synchronized.
 */
public final class TokenIssuer {

    /** Longest wait that is told to an entry, so that a change of rate is noticed. */
    private static final long LONGEST_RETRY_MILLIS = 60_000;

    private final MillisClock clock;
    private final long tokenLifeMillis;
    private final long activeFromMillis;
    private final Deque<Batch> outstanding = new ArrayDeque<>();
    private double ratePerSecond;
    private int burst;
    private double undrained;
    private long drainedAtMillis;

    /**
     * Creates a keeper.
     *
     * @param clock the clock that refills the budget
     * @param ratePerSecond tokens per second over the whole fleet, not negative
     * @param burst tokens that may be used at once over the whole fleet, not negative
     * @param activeFromMillis reading of the clock before which no token is issued; at a takeover at least
     *     {@link BudgetRules#TOKEN_LIFETIME_MILLIS} after the certain end of the predecessor
     * @param startsFull whether the whole burst is available at once; only true for the first keeper ever
     */
    public TokenIssuer(MillisClock clock, double ratePerSecond, int burst, long activeFromMillis, boolean startsFull) {
        this(clock, ratePerSecond, burst, activeFromMillis, startsFull, BudgetRules.TOKEN_LIFETIME_MILLIS);
    }

    /**
     * Creates a keeper of tokens with another life.
     *
     * @param clock the clock that refills the budget
     * @param ratePerSecond tokens per second over the whole fleet, not negative
     * @param burst tokens that may be used at once over the whole fleet, not negative
     * @param activeFromMillis reading of the clock before which no token is issued, and from which the budget refills
     * @param startsFull whether the whole burst is available at once
     * @param tokenLifeMillis life of a token, the same as that of the accounts
     */
    public TokenIssuer(
            MillisClock clock,
            double ratePerSecond,
            int burst,
            long activeFromMillis,
            boolean startsFull,
            long tokenLifeMillis) {
        this.tokenLifeMillis = tokenLifeMillis;
        BudgetRules.requireNotNegative(ratePerSecond, burst);
        this.clock = clock;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.activeFromMillis = activeFromMillis;
        this.undrained = startsFull ? 0 : burst;
        // A keeper that nobody asked before has issued nothing since then.
        this.drainedAtMillis = activeFromMillis;
    }

    /**
     * Issues tokens.
     *
     * @param wanted most tokens to issue
     * @return the tokens issued and when to ask for more
     */
    public synchronized TokenGrant issue(int wanted) {
        long now = clock.nowMillis();
        if (now < activeFromMillis) {
            return new TokenGrant(0, activeFromMillis - now);
        }
        drainUntil(now);
        int tokens = (int) Math.max(0, Math.min(wanted, Math.floor(burst - undrained - outstandingTokens())));
        if (tokens > 0) {
            outstanding.addLast(new Batch(now + tokenLifeMillis, tokens));
        }
        return new TokenGrant(tokens, tokens >= wanted ? 0 : millisUntilNextToken(now));
    }

    /**
     * Changes rate and burst in one step; the time until now counts at the old rate.
     *
     * @param rate tokens per second from now on, not negative
     * @param newBurst tokens that may be used at once from now on, not negative
     */
    public synchronized void configure(double rate, int newBurst) {
        BudgetRules.requireNotNegative(rate, newBurst);
        drainUntil(clock.nowMillis());
        ratePerSecond = rate;
        burst = newBurst;
        undrained = Math.min(undrained, newBurst);
    }

    /**
     * Tells whether entries may fetch tokens in advance.
     *
     * @return true if {@link BudgetRules#prefetchMillis} is positive
     */
    public synchronized boolean prefetchAllowed() {
        return BudgetRules.prefetchMillis(ratePerSecond, burst, tokenLifeMillis) > 0;
    }

    private void drainUntil(long now) {
        while (!outstanding.isEmpty() && outstanding.peekFirst().expiresAtMillis() <= now) {
            Batch batch = outstanding.removeFirst();
            drain(batch.expiresAtMillis());
            undrained += batch.tokens();
        }
        drain(now);
    }

    private void drain(long untilMillis) {
        if (untilMillis > drainedAtMillis) {
            undrained = Math.max(0, undrained - (untilMillis - drainedAtMillis) * ratePerSecond / 1_000);
            drainedAtMillis = untilMillis;
        }
    }

    private int outstandingTokens() {
        return outstanding.stream().mapToInt(Batch::tokens).sum();
    }

    private long millisUntilNextToken(long now) {
        double used = undrained;
        double held = outstandingTokens();
        double at = now;
        Iterator<Batch> batches = outstanding.iterator();
        while (true) {
            Batch next = batches.hasNext() ? batches.next() : null;
            double surplus = used + held - (burst - 1);
            double wait = surplus <= 0 ? 0 : surplus <= used ? surplus * 1_000 / ratePerSecond : Double.MAX_VALUE;
            if (next == null || at + wait <= next.expiresAtMillis()) {
                return (long) Math.max(1, Math.min(LONGEST_RETRY_MILLIS, Math.ceil(at + wait - now)));
            }
            double elapsed = next.expiresAtMillis() - at;
            used = Math.max(0, used - elapsed * ratePerSecond / 1_000) + next.tokens();
            held -= next.tokens();
            at = next.expiresAtMillis();
        }
    }

    private record Batch(long expiresAtMillis, int tokens) {}
}
