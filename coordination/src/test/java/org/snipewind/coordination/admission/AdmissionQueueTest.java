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

    private QueuedRequest<String> request(String organisation, boolean urgent, long deadlineMillis, int bytes) {
        return new QueuedRequest<>("r" + lastId++, organisation, urgent, deadlineMillis, bytes, "");
    }

    private void enqueue(String organisation, boolean urgent, int count) {
        for (int queued = 0; queued < count; queued++) {
            assertThat(queue.offer(request(organisation, urgent, 1_000_000, 10), 1, 10))
                    .isEmpty();
        }
    }

    /** Guards against an organisation that displaces the others by sending long requests at 5 times its rate. */
    @Test
    void longRequestsAtFiveTimesTheRateDoNotStarveOtherOrganisations() {
        Random random = new Random(7);
        Map<String, int[]> offeredAndServed = new HashMap<>();
        List<Long> busyUntilMillis = new ArrayList<>(List.of(0L, 0L));
        for (int nowMillis = 0; nowMillis < 20_000; nowMillis++) {
            for (String name : List.of("greedy", "a", "b", "c", "d")) {
                boolean greedy = name.equals("greedy");
                if (random.nextDouble() < (greedy ? 0.1 : 0.02)) {
                    offeredAndServed.computeIfAbsent(name, key -> new int[2])[0]++;
                    queue.offer(request(name, false, nowMillis + 500, 10), 2, greedy ? 50 : 10);
                }
            }
            queue.removeExpired();
            for (int slot = 0; slot < 2; slot++) {
                if (busyUntilMillis.get(slot) <= nowMillis && queue.size() > 0) {
                    String name = queue.poll().orElseThrow().organisation();
                    int serviceMillis = name.equals("greedy") ? 50 : 10;
                    busyUntilMillis.set(slot, (long) nowMillis + serviceMillis);
                    queue.recordServiceTime(name, serviceMillis);
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

    /** Guards against a round robin that ignores weights, or that counts requests instead of service time. */
    @Test
    void serviceTimeIsSharedByWeight() {
        queue.recordServiceTime("light", 40);
        queue.recordServiceTime("heavy", 10);
        enqueue("light", false, 30);
        enqueue("heavy", false, 60);
        int light = 0;
        for (int admitted = 0; admitted < 39; admitted++) {
            light += queue.poll().orElseThrow().organisation().equals("light") ? 1 : 0;
        }
        assertThat(light).isEqualTo(3);
    }

    /** Guards against urgent requests that starve ordinary ones, or that wait for them unnecessarily. */
    @Test
    void urgentRequestsTakeAtMostFourOfFiveAdmissions() {
        enqueue("a", true, 40);
        enqueue("b", false, 8);
        StringBuilder order = new StringBuilder();
        for (int admitted = 0; admitted < 48; admitted++) {
            order.append(queue.poll().orElseThrow().urgent() ? 'u' : 'o');
        }
        assertThat(order.toString()).isEqualTo("uuuuo".repeat(8) + "u".repeat(8));
    }

    /** Guards against refusals because of another organisation's queue, and admissions that miss the deadline. */
    @Test
    void onlyRequestsThatWouldMissTheirDeadlineAreRefused() {
        enqueue("greedy", false, 50);
        assertThat(queue.offer(request("quiet", false, 25, 10), 1, 10)).isEmpty();
        var refusal = queue.offer(request("greedy", false, 400, 10), 1, 10).orElseThrow();
        assertThat(refusal.kind()).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(refusal.retryAfterMillis().orElseThrow()).isAtLeast(110);
        assertThat(queue.offer(request("greedy", false, 400, 10), 2, 10)).isEmpty();
        assertThat(queue.offer(request("quiet", true, 9, 10), 1, 10)).isPresent();
    }

    /** Guards against a queue that one organisation fills, so that requests of all others are refused. */
    @Test
    void whenFullTheOrganisationAboveItsFairShareIsRefused() {
        enqueue("greedy", false, 100);
        assertThat(queue.offer(request("greedy", false, 1_000_000, 10), 1, 10)
                        .orElseThrow()
                        .kind())
                .isEqualTo(ErrorKind.QUEUE_FULL);
        assertThat(queue.offer(request("quiet", false, 1_000_000, 9_500), 1, 10))
                .isPresent();
        assertThat(queue.takeEvicted()).isEmpty();
        assertThat(queue.offer(request("quiet", false, 1_000_000, 10), 1, 10)).isEmpty();
        assertThat(queue.takeEvicted().stream().map(QueuedRequest::id)).containsExactly("r99");
        assertThat(queue.size()).isEqualTo(100);
        assertThat(queue.bytes()).isEqualTo(1_000);
    }

    /** Guards against requests that receive two responses or none when they leave the queue early. */
    @Test
    void eachRequestLeavesTheQueueOnce() {
        queue.offer(request("a", false, 50, 10), 1, 10);
        queue.offer(request("a", true, 900, 20), 1, 10);
        queue.offer(request("b", false, 900, 30), 1, 10);
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
