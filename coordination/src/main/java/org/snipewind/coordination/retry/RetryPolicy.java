package org.snipewind.coordination.retry;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.error.Refusal;

/**
 * Decides whether and when a failed attempt is retried; stateless.
 *
 * <p>The number of attempts is limited by the deadline and by {@link RetryBudget}, not by a constant. If the owner of a
 * key is lost, the key is served again after up to 2 s, and the request should still reach the new owner.
 */
public final class RetryPolicy {

    private static final long INITIAL_BACKOFF_MILLIS = 10;
    private static final long MAX_BACKOFF_MILLIS = 250;
    private static final int MAX_BACKOFF_EXPONENT = 5;

    private RetryPolicy() {}

    /**
     * Plans the next attempt, with full jitter on an exponential backoff, after the refusal's retry time and before the
     * deadline.
     *
     * @param refusal how the last attempt ended
     * @param idempotent whether the request may run more than once
     * @param attemptsMade number of attempts made so far, at least 1
     * @param remainingMillis milliseconds until the request's deadline
     * @param random source of the jitter
     * @return the plan, or empty if the request must not be retried
     */
    public static Optional<RetryPlan> decide(
            Refusal refusal, boolean idempotent, int attemptsMade, long remainingMillis, RandomGenerator random) {
        Execution execution = refusal.kind().execution();
        boolean safeToRetry = execution == Execution.NOT_RUN || (idempotent && execution == Execution.UNKNOWN);
        if (!safeToRetry || !refusal.kind().isRetryable()) {
            return Optional.empty();
        }
        long earliestDelayMillis = Math.max(0, refusal.retryAfterMillis().orElse(0L));
        if (earliestDelayMillis >= remainingMillis) {
            return Optional.empty();
        }
        int exponent = Math.max(0, Math.min(MAX_BACKOFF_EXPONENT, attemptsMade - 1));
        long backoffMillis = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << exponent);
        long jitterMillis = random.nextLong(Math.min(backoffMillis + 1, remainingMillis - earliestDelayMillis));
        return Optional.of(
                new RetryPlan(earliestDelayMillis + jitterMillis, refusal.kind().wireName()));
    }
}
