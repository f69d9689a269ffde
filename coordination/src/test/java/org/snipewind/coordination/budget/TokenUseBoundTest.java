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

/** Guards against an organisation that exceeds rate and burst when messages or processes misbehave. */
class TokenUseBoundTest {

    private static final int ENTRIES = 3;
    /** Steps of a quarter of a millisecond, so that the truncation of clock readings counts. */
    private static final int STEPS_PER_MILLI = 4;

    private static final int STEPS = 600 * STEPS_PER_MILLI;

    @Property(tries = 300, seed = "20240611")
    void usesInEveryWindowStayWithinRateAndBurst(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 1, max = 3_000) double rate,
            @ForAll @IntRange(min = 1, max = 80) int burst) {
        List<Integer> uses = new Schedule(seed, rate, burst, true).run();
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
     * Guards against a bound that holds only because hardly a token is issued. Of 600 ms, the first 20 ms refill
     * nothing, as the first burst is outstanding, and a last round trip takes up to 5 ms: 40 + 500 x 0.575 = 327.
     */
    @Test
    void withoutFaultsTheWholeRateIsUsed() {
        int uses = new Schedule(1, 500, 40, false).run().size();
        assertWithMessage("uses in 600 ms of burst 40 and 500 per second")
                .that(uses)
                .isAtLeast(327);
    }

    private static final class Schedule {
        private final Random random;
        private final double rate;
        private final int burst;
        private final boolean faults;
        private final List<Integer> uses = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingInt(Event::step));
        private final TokenCache[] accounts = new TokenCache[ENTRIES];
        private final MillisClock[] clocks = new MillisClock[ENTRIES];
        private final int[] pausedUntil = new int[ENTRIES + 1];
        private final int[] waiting = new int[ENTRIES];
        private final long[] unanswered = new long[ENTRIES];
        /** With faults, requests come at the start of a period and their tokens are held to the end of their life. */
        private final int period;

        private final int holdSteps;
        private TokenIssuer keeper;
        private int step;

        Schedule(long seed, double rate, int burst, boolean faults) {
            this.random = new Random(seed);
            this.rate = rate;
            this.burst = burst;
            this.faults = faults;
            this.period = faults && random.nextBoolean() ? (30 + random.nextInt(120)) * STEPS_PER_MILLI : 1;
            this.holdSteps = period == 1 ? 0 : 16 * STEPS_PER_MILLI + random.nextInt(6 * STEPS_PER_MILLI);
            for (int entry = 0; entry < ENTRIES; entry++) {
                clocks[entry] = newClock();
                accounts[entry] = new TokenCache(clocks[entry]);
                accounts[entry].configure(rate, burst);
            }
            keeper = new TokenIssuer(newClock(), rate, burst, 0, true);
        }

        List<Integer> run() {
            for (step = 0; step < STEPS; step++) {
                while (!events.isEmpty() && events.peek().step() <= step) {
                    events.poll().action().run();
                }
                if (faults && random.nextInt(400) == 0) {
                    MillisClock clock = newClock();
                    long activeFrom = clock.nowMillis() + BudgetRules.TOKEN_LIFETIME_MILLIS;
                    keeper = new TokenIssuer(clock, rate, burst, activeFrom, false);
                }
                if (faults && random.nextInt(200) == 0) {
                    pausedUntil[random.nextInt(ENTRIES + 1)] = step + random.nextInt(40 * STEPS_PER_MILLI);
                }
                for (int entry = 0; entry < ENTRIES; entry++) {
                    if (pausedUntil[entry] <= step) {
                        serve(entry);
                    }
                }
            }
            return uses;
        }

        private void serve(int entry) {
            boolean requestsCome = step % period <= STEPS_PER_MILLI;
            waiting[entry] = Math.min(100, waiting[entry] + (requestsCome ? random.nextInt(period == 1 ? 3 : 60) : 0));
            while (waiting[entry] > 0
                    && step % period >= holdSteps
                    && random.nextInt(4) > 0
                    && accounts[entry].tryAcquire()) {
                uses.add(step);
                waiting[entry]--;
            }
            int wanted = accounts[entry].tokensToRequest(waiting[entry]);
            if (wanted > 0) {
                long sentAt = clocks[entry].nowMillis();
                long call = accounts[entry].onRequestSent(sentAt);
                unanswered[entry] = call;
                for (int copy = copies(); copy > 0; copy--) {
                    later(ENTRIES, () -> answer(entry, call, wanted));
                }
                at(step + 30 * STEPS_PER_MILLI, entry, () -> {
                    if (unanswered[entry] == call) {
                        unanswered[entry] = 0;
                        accounts[entry].onRequestFailed();
                    }
                });
            }
        }

        private void answer(int entry, long call, int wanted) {
            TokenGrant decision = keeper.issue(wanted);
            for (int copy = copies(); copy > 0; copy--) {
                later(entry, () -> {
                    accounts[entry].onGranted(call, decision.tokens(), decision.retryAfterMillis());
                    unanswered[entry] = unanswered[entry] == call ? 0 : unanswered[entry];
                });
            }
        }

        private int copies() {
            int dice = faults ? random.nextInt(20) : 1;
            return dice == 0 ? 0 : dice == 19 ? 2 : 1;
        }

        private void later(int process, Runnable action) {
            int delay = faults && random.nextInt(5) == 0 ? random.nextInt(60 * STEPS_PER_MILLI) : random.nextInt(8);
            at(step + 1 + delay, process, action);
        }

        private void at(int due, int process, Runnable action) {
            events.add(new Event(due, () -> {
                if (pausedUntil[process] > step) {
                    at(pausedUntil[process], process, action);
                } else {
                    action.run();
                }
            }));
        }

        private MillisClock newClock() {
            int offset = random.nextInt(1_000);
            return () -> (step + offset) / STEPS_PER_MILLI;
        }
    }

    private record Event(int step, Runnable action) {}
}
