package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.error.ErrorKind;

class AdmissionQueueTest {

    private final ManualMillisClock clock = new ManualMillisClock(0);
    private final AdmissionQueue<String> queue =
            new AdmissionQueue<>(clock, new AdmissionLimits(100, 10_000), name -> name.startsWith("heavy") ? 3 : 1);
    private int lastId;

    private QueuedRequest<String> ticket(String organisation, boolean urgent, long deadline, int bytes) {
        return new QueuedRequest<>("r" + lastId++, organisation, urgent, deadline, bytes, "");
    }

    private void fill(String organisation, boolean urgent, int count) {
        for (int added = 0; added < count; added++) {
            assertThat(queue.offer(ticket(organisation, urgent, 1_000_000, 10), 1, 10))
                    .isEmpty();
        }
    }

    /** Guards against an organisation that overruns the others by long requests at 5 times its rate. */
    @Test
    void longRequestsAtFiveTimesTheRateDoNotStarveOthers() {
        Random random = new Random(7);
        Map<String, int[]> offeredAndServed = new HashMap<>();
        List<Long> busyUntil = new ArrayList<>(List.of(0L, 0L));
        for (int milli = 0; milli < 20_000; milli++) {
            for (String name : List.of("greedy", "a", "b", "c", "d")) {
                boolean greedy = name.equals("greedy");
                if (random.nextDouble() < (greedy ? 0.1 : 0.02)) {
                    offeredAndServed.computeIfAbsent(name, key -> new int[2])[0]++;
                    queue.offer(ticket(name, false, milli + 500, 10), 2, greedy ? 50 : 10);
                }
            }
            queue.removeExpired();
            for (int slot = 0; slot < 2; slot++) {
                if (busyUntil.get(slot) <= milli && queue.size() > 0) {
                    String name = queue.poll().orElseThrow().organisation();
                    int service = name.equals("greedy") ? 50 : 10;
                    busyUntil.set(slot, (long) milli + service);
                    queue.recordServiceTime(name, service);
                    offeredAndServed.get(name)[1]++;
                }
            }
            clock.advance(1);
        }
        for (String name : List.of("a", "b", "c", "d")) {
            int[] counts = offeredAndServed.get(name);
            assertThat(counts[1]).isAtLeast((int) Math.ceil(0.99 * counts[0]));
        }
        assertThat(offeredAndServed.get("greedy")[1]).isAtLeast(400);
    }

    /** Guards against a round robin that ignores weights or counts requests in place of service time. */
    @Test
    void serviceTimeIsSharedByWeight() {
        queue.recordServiceTime("light", 40);
        queue.recordServiceTime("heavy", 10);
        fill("light", false, 30);
        fill("heavy", false, 60);
        int light = 0;
        for (int admitted = 0; admitted < 39; admitted++) {
            light += queue.poll().orElseThrow().organisation().equals("light") ? 1 : 0;
        }
        assertThat(light).isEqualTo(3);
    }

    /** Guards against urgent work that starves ordinary work, or waits for it without need. */
    @Test
    void urgentWorkTakesAtMostFourOfFiveAdmissions() {
        fill("a", true, 40);
        fill("b", false, 8);
        StringBuilder order = new StringBuilder();
        for (int admitted = 0; admitted < 48; admitted++) {
            order.append(queue.poll().orElseThrow().urgent() ? 'u' : 'o');
        }
        assertThat(order.toString()).isEqualTo("uuuuo".repeat(8) + "u".repeat(8));
    }

    /** Guards against wrongful refusals because of another organisation's queue, and against hopeless admissions. */
    @Test
    void deadlineRefusesOnlyWhatCannotBeMet() {
        fill("greedy", false, 50);
        assertThat(queue.offer(ticket("quiet", false, 25, 10), 1, 10)).isEmpty();
        var refusal = queue.offer(ticket("greedy", false, 400, 10), 1, 10).orElseThrow();
        assertThat(refusal.kind()).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(refusal.retryAfterMillis().orElseThrow()).isAtLeast(110);
        assertThat(queue.offer(ticket("greedy", false, 400, 10), 2, 10)).isEmpty();
        assertThat(queue.offer(ticket("quiet", true, 9, 10), 1, 10)).isPresent();
    }

    /** Guards against a full queue in which one organisation's requests shut out all others. */
    @Test
    void whenFullTheOrganisationAboveItsFairShareIsRefused() {
        fill("greedy", false, 100);
        assertThat(queue.offer(ticket("greedy", false, 1_000_000, 10), 1, 10)
                        .orElseThrow()
                        .kind())
                .isEqualTo(ErrorKind.QUEUE_FULL);
        assertThat(queue.offer(ticket("quiet", false, 1_000_000, 9_500), 1, 10)).isPresent();
        assertThat(queue.takeEvicted()).isEmpty();
        assertThat(queue.offer(ticket("quiet", false, 1_000_000, 10), 1, 10)).isEmpty();
        assertThat(queue.takeEvicted().stream().map(QueuedRequest::id)).containsExactly("r99");
        assertThat(queue.size()).isEqualTo(100);
        assertThat(queue.bytes()).isEqualTo(1_000);
    }

    /** Guards against requests that are answered twice or never when they leave the queue early. */
    @Test
    void eachRequestLeavesTheQueueOnce() {
        queue.offer(ticket("a", false, 50, 10), 1, 10);
        queue.offer(ticket("a", true, 900, 20), 1, 10);
        queue.offer(ticket("b", false, 900, 30), 1, 10);
        assertThat(queue.offer(new QueuedRequest<>("r2", "b", true, 900, 30, ""), 1, 1)
                        .orElseThrow()
                        .kind())
                .isEqualTo(ErrorKind.DUPLICATE_REQUEST);
        clock.advance(50);
        assertThat(queue.removeExpired().stream().map(QueuedRequest::id)).containsExactly("r0");
        assertThat(queue.remove("r1")).isPresent();
        assertThat(queue.remove("r1")).isEmpty();
        assertThat(queue.removeAll().stream().map(QueuedRequest::id)).containsExactly("r2");
        assertThat(queue.poll()).isEmpty();
        assertThat(queue.bytes()).isEqualTo(0);
    }
}
