package org.snipewind.coordination.budget;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.snipewind.coordination.clock.MillisClock;

/**
 * The tokens of one budget at one instance: caches unexpired tokens and decides when to request how many more.
 *
 * <p>The lifetime of all tokens, also of those for requests that already wait, starts when the request for them was
 * sent, so a delayed response can only lose tokens. All methods are synchronized.
 */
public final class TokenCache {

    /** Minimum length of an interval; the recent rate of use is measured over the latest two intervals. */
    private static final long MIN_INTERVAL_MILLIS = 100;

    /** Token lifetimes per interval; shorter intervals take single uses for a rate, so that tokens expire unused. */
    private static final long TOKEN_LIFETIMES_PER_INTERVAL = 4;

    /** Time before its expiry from which a token is no longer used, because clock readings are truncated. */
    private static final long EXPIRY_MARGIN_MILLIS =
            BudgetRules.TOKEN_LIFETIME_MILLIS - BudgetRules.TOKEN_USABLE_MILLIS;

    /**
     * Longest lifetime of tokens that are requested for waiting requests only. They are used when they arrive, and a
     * shorter lifetime leaves more of a small burst for the next requests.
     */
    private static final long MAX_UNPREFETCHED_LIFETIME_MILLIS = 60;

    private static final long INITIAL_BACKOFF_MILLIS = 5;
    private static final long MAX_BACKOFF_MILLIS = 100;

    private final MillisClock clock;
    private final long tokenLifetimeMillis;
    private final long intervalMillis;
    private final PriorityQueue<Batch> batches = new PriorityQueue<>(Comparator.comparingLong(Batch::expiresAtMillis));
    private double ratePerSecond;
    private double burst;
    private int availableTokens;
    private boolean requestInFlight;
    private long lastRequestNumber;
    private long sentAtMillis;
    private long requestedLifetimeMillis;
    private long retryNotBeforeMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long intervalStartMillis;
    private int usesInInterval;
    private int usesInPreviousInterval;

    /**
     * Creates an empty cache for tokens with the default lifetime.
     *
     * @param clock the clock by which tokens expire
     */
    public TokenCache(MillisClock clock) {
        this(clock, BudgetRules.TOKEN_LIFETIME_MILLIS);
    }

    /**
     * Creates an empty cache for tokens with another lifetime.
     *
     * @param clock the clock by which tokens expire
     * @param tokenLifetimeMillis lifetime of a token, the same as in the {@link TokenIssuer} of the budget
     */
    public TokenCache(MillisClock clock, long tokenLifetimeMillis) {
        this.tokenLifetimeMillis = tokenLifetimeMillis;
        this.intervalMillis = Math.max(MIN_INTERVAL_MILLIS, TOKEN_LIFETIMES_PER_INTERVAL * tokenLifetimeMillis);
        this.requestedLifetimeMillis = tokenLifetimeMillis;
        this.clock = clock;
        this.retryNotBeforeMillis = clock.nowMillis();
        this.intervalStartMillis = clock.nowMillis();
    }

    /**
     * Sets rate and burst; cached tokens stay valid until they expire. A wait that the issuer asked for under another
     * rate or burst ends, as tokens may be available now.
     *
     * @param rate tokens per second for the whole fleet, not negative
     * @param newBurst tokens that may be used at once in the whole fleet, not negative
     */
    public synchronized void configure(double rate, double newBurst) {
        BudgetRules.requireNotNegative(rate, newBurst);
        if (rate != ratePerSecond || newBurst != burst) {
            retryNotBeforeMillis = clock.nowMillis();
        }
        ratePerSecond = rate;
        burst = newBurst;
    }

    /**
     * Returns whether there is an unexpired token, without taking it.
     *
     * @return true if {@link #tryAcquire()} would succeed
     */
    public synchronized boolean hasToken() {
        removeExpired(clock.nowMillis());
        return availableTokens > 0;
    }

    /**
     * Takes the unexpired token that expires first, if there is one.
     *
     * @return whether a token was taken
     */
    public synchronized boolean tryAcquire() {
        long now = clock.nowMillis();
        removeExpired(now);
        if (availableTokens == 0) {
            return false;
        }
        Batch first = batches.remove();
        if (first.tokens() > 1) {
            batches.add(new Batch(first.expiresAtMillis(), first.tokens() - 1));
        }
        availableTokens--;
        advanceInterval(now);
        usesInInterval++;
        return true;
    }

    /**
     * Returns how many tokens to request now: one for each waiting request, and a prefetch for the recent rate of use.
     *
     * @param waiting number of requests that wait for a token
     * @return number of tokens, 0 if no request for tokens should be sent now
     */
    public synchronized int tokensToRequest(int waiting) {
        long now = clock.nowMillis();
        if (requestInFlight || now < retryNotBeforeMillis) {
            return 0;
        }
        removeExpired(now);
        int prefetch = prefetch(now);
        if (waiting <= availableTokens && availableTokens * 2 > prefetch) {
            return 0;
        }
        requestedLifetimeMillis =
                prefetch > 0 ? tokenLifetimeMillis : Math.min(tokenLifetimeMillis, MAX_UNPREFETCHED_LIFETIME_MILLIS);
        return Math.max(0, Math.min(waiting + prefetch - availableTokens, Math.max(1, (int) burst)));
    }

    /**
     * Returns the time in which the tokens are used that {@link #tokensToRequest} last determined, counted from the
     * sending of the request for them.
     *
     * @return milliseconds
     */
    public synchronized long requestedLifetimeMillis() {
        return requestedLifetimeMillis;
    }

    /**
     * Records that a request for tokens is being sent.
     *
     * @param requestSentAtMillis clock reading taken before the request is sent
     * @return number of the request, by which its response is distinguished from late and duplicate ones
     */
    public synchronized long onRequestSent(long requestSentAtMillis) {
        requestInFlight = true;
        sentAtMillis = requestSentAtMillis;
        lastRequestNumber++;
        return lastRequestNumber;
    }

    /**
     * Adds the tokens of the response to the request in flight. The caller passes each response once, and no late one.
     *
     * @param tokens number of tokens issued
     */
    public synchronized void onGranted(int tokens) {
        // Without a retry time from the issuer, a response without tokens delays the next request by the time of one
        // token at the configured rate, at most 100 ms.
        long oneTokenMillis = (long) Math.min(MAX_BACKOFF_MILLIS, Math.ceil(1_000 / ratePerSecond));
        onGranted(lastRequestNumber, tokens, tokens > 0 ? 0 : oneTokenMillis);
    }

    /**
     * Adds the tokens of a response if it belongs to the request in flight; late and duplicate responses are ignored.
     *
     * @param requestNumber the number that {@link #onRequestSent} returned for the request
     * @param tokens number of tokens issued
     * @param retryAfterMillis milliseconds until another token may be issued, 0 if all requested tokens were issued
     */
    public synchronized void onGranted(long requestNumber, int tokens, long retryAfterMillis) {
        if (!requestInFlight || requestNumber != lastRequestNumber) {
            return;
        }
        requestInFlight = false;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        retryNotBeforeMillis = clock.nowMillis() + retryAfterMillis;
        if (tokens > 0) {
            batches.add(new Batch(sentAtMillis + requestedLifetimeMillis, tokens));
            availableTokens += tokens;
        }
    }

    /** Records that the request in flight failed; the next one is delayed by exponential backoff. */
    public synchronized void onRequestFailed() {
        if (requestInFlight) {
            requestInFlight = false;
            retryNotBeforeMillis = clock.nowMillis() + backoffMillis;
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        }
    }

    /**
     * Returns the earliest time of the next request for tokens.
     *
     * @return clock reading before which {@link #tokensToRequest} returns 0
     */
    public synchronized long retryNotBeforeMillis() {
        return retryNotBeforeMillis;
    }

    private int prefetch(long now) {
        advanceInterval(now);
        double previousFraction = 1 - (double) (now - intervalStartMillis) / intervalMillis;
        double usesPerMilli = (usesInInterval + usesInPreviousInterval * previousFraction) / intervalMillis;
        double recentUsesPerMilli = Math.min(usesPerMilli, ratePerSecond / 1_000);
        return (int) (recentUsesPerMilli * BudgetRules.prefetchMillis(ratePerSecond, burst, tokenLifetimeMillis));
    }

    private void advanceInterval(long now) {
        long intervals = (now - intervalStartMillis) / intervalMillis;
        if (intervals > 0) {
            usesInPreviousInterval = intervals == 1 ? usesInInterval : 0;
            usesInInterval = 0;
            intervalStartMillis += intervals * intervalMillis;
        }
    }

    private void removeExpired(long now) {
        batches.removeIf(batch -> {
            boolean expired = now >= batch.expiresAtMillis() - EXPIRY_MARGIN_MILLIS;
            availableTokens -= expired ? batch.tokens() : 0;
            return expired;
        });
    }

    private record Batch(long expiresAtMillis, int tokens) {}
}
