package org.snipewind.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.error.Refusal;

class RetryTest {

    /** Guards against a second run of a non-idempotent request, and against retries after the deadline. */
    @Property(tries = 1_000, seed = "77")
    void onlySafeRetriesBeforeTheDeadlineArePlanned(
            @ForAll ErrorKind kind,
            @ForAll boolean idempotent,
            @ForAll @IntRange(min = 1, max = 50) int attempts,
            @ForAll @LongRange(min = -10, max = 500) long remaining,
            @ForAll @LongRange(min = 0, max = 300) long retryAfter,
            @ForAll long seed) {
        Refusal refusal = new Refusal(kind, "", Optional.of(retryAfter));
        Optional<RetryPlan> plan = RetryPolicy.decide(refusal, idempotent, attempts, remaining, new Random(seed));
        boolean safeToRetry =
                kind.execution() == Execution.NOT_RUN || (kind.execution() == Execution.UNKNOWN && idempotent);
        assertThat(plan.isPresent()).isEqualTo(safeToRetry && kind.isRetryable() && retryAfter < remaining);
        plan.ifPresent(planned -> {
            assertThat(planned.delayMillis()).isAtLeast(retryAfter);
            assertThat(planned.delayMillis()).isAtMost(Math.min(retryAfter + 250, remaining - 1));
            assertThat(planned.reason()).isEqualTo(kind.wireName());
        });
    }

    /** Guards against retries that multiply the load while every attempt fails. */
    @Test
    void retriesInATotalOutageStayWithinATenthOfTheRequestsPlusTheAllowance() {
        ManualMillisClock clock = new ManualMillisClock(0);
        RetryBudget budget = new RetryBudget(clock, 0.1, 1);
        int retries = 0;
        for (int milli = 0; milli < 10_000; milli++) {
            budget.recordFirstAttempt();
            while (budget.tryAcquire()) {
                retries++;
            }
            clock.advance(1);
        }
        assertThat(retries).isAtMost(1_000 + 1 + 10);
        assertThat(retries).isAtLeast(1_000);
    }

    /** Guards against an outage that begins with all the retries saved up in hours without failures. */
    @Test
    void onlyAFewRetriesAreSavedWhileNoneAreNeeded() {
        ManualMillisClock clock = new ManualMillisClock(0);
        RetryBudget budget = new RetryBudget(clock, 0.1, 1);
        for (int request = 0; request < 100_000; request++) {
            budget.recordFirstAttempt();
        }
        int retries = 0;
        while (budget.tryAcquire()) {
            retries++;
        }
        assertThat(retries).isEqualTo(11);
    }
}
