package org.snipewind.coordination.budget;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Guards against an organisation that exceeds its rate and burst when messages are lost, delayed or duplicated, and
 * when processes pause or the issuer is replaced.
 */
class TokenUseBoundTest {

    private static final int INSTANCES = 3;
    /** Resolution of the simulation: finer than a millisecond, so that clock readings are truncated. */
    private static final int STEPS_PER_MILLI = 4;

    private static final int STEPS = 600 * STEPS_PER_MILLI;

    @Property(tries = 300, seed = "20240611")
    void usesInEveryWindowStayWithinRateAndBurst(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 1, max = 3_000) double rate,
            @ForAll @IntRange(min = 1, max = 80) int burst) {
        List<Integer> uses = new Simulation(seed, rate, burst, true).run();
        for (int first = 0; first < uses.size(); first++) {
            for (int last = first; last < uses.size(); last++) {
                double seconds = (uses.get(last) - uses.get(first)) / (1_000.0 * STEPS_PER_MILLI);
                assertWithMessage("uses from step %s to %s", uses.get(first), uses.get(last))
                        .that((double) (last - first + 1))
                        .isAtMost(burst + rate * seconds + 1e-6);
            }
        }
    }

    /**
     * Guards against a bound that holds only because few tokens are issued. Of the 600 ms, the first 20 ms refill
     * nothing, because the first burst is outstanding, and the last round trip takes up to 5 ms. This leaves at least
     * 40 + 500 x 0.575 = 327 uses.
     */
    @Test
    void withoutFaultsTheFullRateIsUsed() {
        int uses = new Simulation(1, 500, 40, false).run().size();
        assertWithMessage("uses in 600 ms of burst 40 and 500 per second")
                .that(uses)
                .isAtLeast(327);
    }

    private static final class Simulation {
        private final Random random;
        private final double rate;
        private final int burst;
        private final boolean withFaults;
        private final List<Integer> uses = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingInt(Event::step));
        private final TokenCache[] caches = new TokenCache[INSTANCES];
        private final MillisClock[] clocks = new MillisClock[INSTANCES];
        private final int[] pausedUntilStep = new int[INSTANCES + 1];
        private final int[] waitingRequests = new int[INSTANCES];
        private final long[] requestInFlight = new long[INSTANCES];
        /** With faults, requests may arrive in periodic bursts that use their tokens shortly before these expire. */
        private final int periodSteps;

        private final int holdSteps;
        private TokenIssuer issuer;
        private int step;

        Simulation(long seed, double rate, int burst, boolean withFaults) {
            this.random = new Random(seed);
            this.rate = rate;
            this.burst = burst;
            this.withFaults = withFaults;
            this.periodSteps = withFaults && random.nextBoolean() ? (30 + random.nextInt(120)) * STEPS_PER_MILLI : 1;
            this.holdSteps = periodSteps == 1 ? 0 : 16 * STEPS_PER_MILLI + random.nextInt(6 * STEPS_PER_MILLI);
            for (int instance = 0; instance < INSTANCES; instance++) {
                clocks[instance] = newClock();
                caches[instance] = new TokenCache(clocks[instance]);
                caches[instance].configure(rate, burst);
            }
            issuer = new TokenIssuer(newClock(), rate, burst, 0, true);
        }

        List<Integer> run() {
            for (step = 0; step < STEPS; step++) {
                while (!events.isEmpty() && events.peek().step() <= step) {
                    events.poll().action().run();
                }
                if (withFaults && random.nextInt(400) == 0) {
                    MillisClock clock = newClock();
                    long activeFromMillis = clock.nowMillis() + BudgetRules.TOKEN_LIFETIME_MILLIS;
                    issuer = new TokenIssuer(clock, rate, burst, activeFromMillis, false);
                }
                if (withFaults && random.nextInt(200) == 0) {
                    pausedUntilStep[random.nextInt(INSTANCES + 1)] = step + random.nextInt(40 * STEPS_PER_MILLI);
                }
                for (int instance = 0; instance < INSTANCES; instance++) {
                    if (pausedUntilStep[instance] <= step) {
                        runInstance(instance);
                    }
                }
            }
            return uses;
        }

        private void runInstance(int instance) {
            boolean requestsArrive = step % periodSteps <= STEPS_PER_MILLI;
            waitingRequests[instance] = Math.min(
                    100, waitingRequests[instance] + (requestsArrive ? random.nextInt(periodSteps == 1 ? 3 : 60) : 0));
            while (waitingRequests[instance] > 0
                    && step % periodSteps >= holdSteps
                    && random.nextInt(4) > 0
                    && caches[instance].tryAcquire()) {
                uses.add(step);
                waitingRequests[instance]--;
            }
            int wanted = caches[instance].tokensToRequest(waitingRequests[instance]);
            if (wanted > 0) {
                long sentAtMillis = clocks[instance].nowMillis();
                long requestNumber = caches[instance].onRequestSent(sentAtMillis);
                requestInFlight[instance] = requestNumber;
                for (int delivery = deliveries(); delivery > 0; delivery--) {
                    scheduleWithDelay(INSTANCES, () -> respond(instance, requestNumber, wanted));
                }
                schedule(step + 30 * STEPS_PER_MILLI, instance, () -> {
                    if (requestInFlight[instance] == requestNumber) {
                        requestInFlight[instance] = 0;
                        caches[instance].onRequestFailed();
                    }
                });
            }
        }

        private void respond(int instance, long requestNumber, int wanted) {
            TokenGrant grant = issuer.issue(wanted);
            for (int delivery = deliveries(); delivery > 0; delivery--) {
                scheduleWithDelay(instance, () -> {
                    caches[instance].onGranted(requestNumber, grant.tokens(), grant.retryAfterMillis());
                    requestInFlight[instance] =
                            requestInFlight[instance] == requestNumber ? 0 : requestInFlight[instance];
                });
            }
        }

        private int deliveries() {
            int roll = withFaults ? random.nextInt(20) : 1;
            return roll == 0 ? 0 : roll == 19 ? 2 : 1;
        }

        private void scheduleWithDelay(int processIndex, Runnable action) {
            int delaySteps =
                    withFaults && random.nextInt(5) == 0 ? random.nextInt(60 * STEPS_PER_MILLI) : random.nextInt(8);
            schedule(step + 1 + delaySteps, processIndex, action);
        }

        private void schedule(int dueStep, int processIndex, Runnable action) {
            events.add(new Event(dueStep, () -> {
                if (pausedUntilStep[processIndex] > step) {
                    schedule(pausedUntilStep[processIndex], processIndex, action);
                } else {
                    action.run();
                }
            }));
        }

        private MillisClock newClock() {
            int offsetSteps = random.nextInt(1_000);
            return () -> (step + offsetSteps) / STEPS_PER_MILLI;
        }
    }

    private record Event(int step, Runnable action) {}
}
