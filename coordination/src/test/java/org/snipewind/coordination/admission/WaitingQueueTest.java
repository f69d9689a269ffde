package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against waiting requests that are sent in the wrong order, twice or not at all. */
final class WaitingQueueTest {

    private static final long NOW = 1_000_000;
    private static final long UNTIL = NOW + 50;

    private final WaitingQueue<String> queue = new WaitingQueue<>(10);
    private final List<String> ended = new ArrayList<>();
    private final List<String> tried = new ArrayList<>();

    private void offer(String request, String place, int urgencyRank, CallerStanding standing, long latestStart) {
        assertThat(queue.offer(request, place, new RequestOrder(urgencyRank, standing, latestStart), UNTIL))
                .isTrue();
    }

    private void lookAgain(long nowMillis, boolean room) {
        tried.clear();
        queue.lookAgain(
                nowMillis,
                Optional.empty(),
                request -> {
                    tried.add(request);
                    return room;
                },
                ended::add);
    }

    @Test
    void requestsGoByUrgencyThenStandingThenRemainingTime() {
        offer("late", "", 0, CallerStanding.LATE, NOW - 100);
        offer("new", "", 0, CallerStanding.NEW, NOW + 300);
        offer("new, less time", "", 0, CallerStanding.NEW, NOW + 200);
        offer("returning", "", 0, CallerStanding.RETURNING, NOW + 400);
        offer("urgent", "", 1, CallerStanding.NEW, NOW + 900);
        lookAgain(NOW, true);
        assertThat(tried)
                .containsExactly("urgent", "returning", "new, less time", "new", "late")
                .inOrder();
        assertThat(queue.isEmpty()).isTrue();
        assertThat(ended).isEmpty();
    }

    @Test
    void aBusyTargetDoesNotHoldUpRequestsForOthers() {
        for (int each = 0; each < 5; each++) {
            offer("a" + each, "a", 1, CallerStanding.NEW, NOW);
        }
        offer("b", "b", 0, CallerStanding.NEW, NOW);
        queue.lookAgain(NOW, Optional.empty(), request -> request.equals("b"), ended::add);
        lookAgain(NOW + 1, true);
        assertThat(tried).containsExactly("a0", "a1", "a2", "a3", "a4").inOrder();
    }

    @Test
    void aWaitEndsAtItsTimeAlsoForRequestsThatWereNotTried() {
        for (int each = 0; each < 5; each++) {
            offer("a" + each, "", 0, CallerStanding.NEW, NOW + each);
        }
        lookAgain(UNTIL - 1, false);
        assertThat(ended).isEmpty();
        lookAgain(UNTIL, false);
        assertThat(ended).containsExactly("a0", "a1", "a2", "a3", "a4").inOrder();
        assertThat(queue.nextEndMillis()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void onlyRequestsAheadOfANewOneAreTriedBeforeIt() {
        offer("urgent", "", 1, CallerStanding.NEW, NOW);
        offer("less urgent", "", 0, CallerStanding.NEW, NOW);
        RequestOrder arriving = new RequestOrder(1, CallerStanding.NEW, NOW + 10);
        queue.lookAgain(NOW, Optional.of(arriving), tried::add, ended::add);
        assertThat(tried).containsExactly("urgent");
        assertThat(queue.isEmpty()).isFalse();
    }

    @Test
    void aRequestThatLeavesWhileOthersAreTriedIsNotTried() {
        offer("first", "", 1, CallerStanding.NEW, NOW);
        offer("second", "", 0, CallerStanding.NEW, NOW);
        queue.lookAgain(
                NOW,
                Optional.empty(),
                request -> {
                    tried.add(request);
                    queue.remove("second");
                    return true;
                },
                ended::add);
        assertThat(tried).containsExactly("first");
        assertThat(queue.isEmpty()).isTrue();
    }

    /** Guards against a request that is rejected by its target at once and then forgotten. */
    @Test
    void aRequestThatWaitsAgainWhileItIsTriedStaysInTheQueue() {
        offer("first", "", 0, CallerStanding.NEW, NOW);
        queue.lookAgain(
                NOW,
                Optional.empty(),
                request -> {
                    offer(request, "", 0, CallerStanding.NEW, NOW);
                    return true;
                },
                ended::add);
        lookAgain(NOW + 1, true);
        assertThat(tried).containsExactly("first");
    }
}
