package org.snipewind.coordination.retry;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.error.Refusal;

/**
 * Decides whether and when a failed attempt is repeated; it has no state.
 *
 * <p>The number of attempts is bounded by the deadline and by {@link RetryBudget}, not by a constant: a key whose
 * owner is lost is served again after up to 2 s, and the request should reach the new owner.
 */
public final class RetryPolicy {

    private static final long FIRST_BACKOFF_MILLIS = 10;
    private static final long LONGEST_BACKOFF_MILLIS = 250;
    private static final int LARGEST_EXPONENT = 5;

    private RetryPolicy() {}

    /**
     * Plans the next attempt with full jitter, after the refusal's retry time and before the deadline.
     *
     * @param refusal how the last attempt ended
     * @param idempotent whether the request may run more than once
     * @param attemptsMade attempts made so far, at least 1
     * @param remainingMillis milliseconds until the request's deadline
     * @param random source of the jitter
     * @return the plan, or empty if the request must not be repeated
     */
    public static Optional<RetryPlan> decide(
            Refusal refusal, boolean idempotent, int attemptsMade, long remainingMillis, RandomGenerator random) {
        Execution execution = refusal.kind().execution();
        boolean safe = execution == Execution.NOT_RUN || (idempotent && execution == Execution.UNKNOWN);
        if (!safe || !refusal.kind().isRetryable()) {
            return Optional.empty();
        }
        long earliest = Math.max(0, refusal.retryAfterMillis().orElse(0L));
        if (earliest >= remainingMillis) {
            return Optional.empty();
        }
        int exponent = Math.max(0, Math.min(LARGEST_EXPONENT, attemptsMade - 1));
        long backoff = Math.min(LONGEST_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << exponent);
        long jitter = random.nextLong(Math.min(backoff + 1, remainingMillis - earliest));
        return Optional.of(new RetryPlan(earliest + jitter, refusal.kind().wireName()));
    }
}
