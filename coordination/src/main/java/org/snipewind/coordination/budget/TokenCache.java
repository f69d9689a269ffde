package org.snipewind.coordination.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import org.snipewind.coordination.clock.MillisClock;

/**
 * The entry side of one budget: unexpired tokens, the call in flight, and how many tokens to ask for.
 *
 * <p>Tokens expire by the time at which their request was sent, also those meant for waiting requests, so a delayed
 * answer only loses tokens. All methods are synchronized.
 */
public final class TokenCache {

    /** Two intervals cover the uses that count as recent; they are at least this long. */
    private static final long MIN_RATE_INTERVAL_MILLIS = 100;

    /** Token lives in an interval; over a shorter one, single uses look like a rate, and tokens expire unused. */
    private static final long TOKEN_LIVES_PER_INTERVAL = 4;

    /** Clock readings are truncated, so an entry stops to use a token this much earlier. */
    private static final long TRUNCATION_MILLIS = BudgetRules.TOKEN_LIFETIME_MILLIS - BudgetRules.TOKEN_USABLE_MILLIS;

    private static final long FIRST_BACKOFF_MILLIS = 5;
    private static final long LONGEST_BACKOFF_MILLIS = 100;

    private final MillisClock clock;
    private final long tokenLifeMillis;
    private final long rateIntervalMillis;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private double ratePerSecond;
    private int burst;
    private int held;
    private boolean inFlight;
    private long call;
    private long sentAtMillis;
    private long retryNotBeforeMillis;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;
    private long intervalStartMillis;
    private int usesOfInterval;
    private int usesOfPreviousInterval;

    /**
     * Creates an account without tokens.
     *
     * @param clock the clock by which tokens expire
     */
    public TokenCache(MillisClock clock) {
        this(clock, BudgetRules.TOKEN_LIFETIME_MILLIS);
    }

    /**
     * Creates an account for tokens with another life.
     *
     * @param clock the clock by which tokens expire
     * @param tokenLifeMillis life of a token, the same as that of the keeper
     */
    public TokenCache(MillisClock clock, long tokenLifeMillis) {
        this.tokenLifeMillis = tokenLifeMillis;
        this.rateIntervalMillis = Math.max(MIN_RATE_INTERVAL_MILLIS, TOKEN_LIVES_PER_INTERVAL * tokenLifeMillis);
        this.clock = clock;
        this.retryNotBeforeMillis = clock.nowMillis();
        this.intervalStartMillis = clock.nowMillis();
    }

    /**
     * Sets rate and burst; tokens already held stay valid until they expire.
     *
     * @param rate tokens per second over the whole fleet, not negative
     * @param newBurst tokens that may be used at once over the whole fleet, not negative
     */
    public synchronized void configure(double rate, int newBurst) {
        BudgetRules.requireNotNegative(rate, newBurst);
        ratePerSecond = rate;
        burst = newBurst;
    }

    /**
     * Uses one unexpired token, the one that expires first.
     *
     * @return whether there was a token
     */
    public synchronized boolean tryAcquire() {
        long now = clock.nowMillis();
        dropExpired(now);
        if (held == 0) {
            return false;
        }
        Batch first = batches.removeFirst();
        if (first.tokens() > 1) {
            batches.addFirst(new Batch(first.sentAtMillis(), first.tokens() - 1));
        }
        held--;
        rollInterval(now);
        usesOfInterval++;
        return true;
    }

    /**
     * Tells how many tokens to request now: those that wait and a prefetch by the recent rate of uses.
     *
     * @param waiting number of requests that wait for a token
     * @return number of tokens, 0 if no call should be sent now
     */
    public synchronized int tokensToRequest(int waiting) {
        long now = clock.nowMillis();
        if (inFlight || now < retryNotBeforeMillis) {
            return 0;
        }
        dropExpired(now);
        int prefetch = prefetch(now);
        if (waiting <= held && held * 2 > prefetch) {
            return 0;
        }
        return Math.max(0, Math.min(waiting + prefetch - held, Math.max(1, burst)));
    }

    /**
     * Notes that a request for tokens was sent.
     *
     * @param sentAt reading of the clock taken before the request left
     * @return number of the call, by which its answer is told from late and duplicate ones
     */
    public synchronized long onRequestSent(long sentAt) {
        inFlight = true;
        sentAtMillis = sentAt;
        call++;
        return call;
    }

    /**
     * Adds the tokens of the answer to the call in flight; the caller passes each answer once, and none that is late.
     *
     * @param tokens number of tokens issued
     */
    public synchronized void onGranted(int tokens) {
        // Without the keeper's time, an empty answer waits for one token of the rate, at most 100 ms.
        long oneToken = (long) Math.min(LONGEST_BACKOFF_MILLIS, Math.ceil(1_000 / ratePerSecond));
        onGranted(call, tokens, tokens > 0 ? 0 : oneToken);
    }

    /**
     * Adds the tokens of an answer, if it belongs to the call in flight; late and duplicate answers are ignored.
     *
     * @param answeredCall the number that {@link #onRequestSent} gave for this call
     * @param tokens number of tokens issued
     * @param retryAfterMillis milliseconds until the keeper may issue another token, 0 if all were issued
     */
    public synchronized void onGranted(long answeredCall, int tokens, long retryAfterMillis) {
        if (!inFlight || answeredCall != call) {
            return;
        }
        inFlight = false;
        backoffMillis = FIRST_BACKOFF_MILLIS;
        retryNotBeforeMillis = clock.nowMillis() + retryAfterMillis;
        if (tokens > 0) {
            batches.addLast(new Batch(sentAtMillis, tokens));
            held += tokens;
        }
    }

    /** Notes that the call in flight brought no answer; the next one waits for a backoff that doubles. */
    public synchronized void onRequestFailed() {
        if (inFlight) {
            inFlight = false;
            retryNotBeforeMillis = clock.nowMillis() + backoffMillis;
            backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
        }
    }

    /**
     * Tells when the next call may be sent.
     *
     * @return reading of the clock before which {@link #tokensToRequest} gives 0
     */
    public synchronized long retryNotBeforeMillis() {
        return retryNotBeforeMillis;
    }

    private int prefetch(long now) {
        rollInterval(now);
        double previousPart = 1 - (double) (now - intervalStartMillis) / rateIntervalMillis;
        double usesPerMilli = (usesOfInterval + usesOfPreviousInterval * previousPart) / rateIntervalMillis;
        double recent = Math.min(usesPerMilli, ratePerSecond / 1_000);
        return (int) (recent * BudgetRules.prefetchMillis(ratePerSecond, burst, tokenLifeMillis));
    }

    private void rollInterval(long now) {
        long intervals = (now - intervalStartMillis) / rateIntervalMillis;
        if (intervals > 0) {
            usesOfPreviousInterval = intervals == 1 ? usesOfInterval : 0;
            usesOfInterval = 0;
            intervalStartMillis += intervals * rateIntervalMillis;
        }
    }

    private void dropExpired(long now) {
        while (!batches.isEmpty() && now - batches.peekFirst().sentAtMillis() >= tokenLifeMillis - TRUNCATION_MILLIS) {
            held -= batches.removeFirst().tokens();
        }
    }

    private record Batch(long sentAtMillis, int tokens) {}
}
