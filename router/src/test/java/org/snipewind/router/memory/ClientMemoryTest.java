package org.snipewind.router.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against connections that together take more memory than their budget, in whatever state they are. */
final class ClientMemoryTest {

    private static final long BUDGET = 1_000;

    private final ClientMemory account = new ClientMemory(BUDGET);
    private final List<String> ended = new ArrayList<>();

    private ConnectionMemory open(String name) {
        return account.open(() -> ended.add("close " + name), () -> ended.add("end " + name));
    }

    @Test
    void theMostCostlyUnfinishedRequestIsClosedFirst() {
        open("small").update(300, true);
        open("whole").update(700, false);
        open("large").update(500, true);
        assertThat(ended).containsExactly("close large");
    }

    /** Whole requests of many fields filled the heap, since only unfinished ones were closed. */
    @Test
    void theMostCostlyWholeRequestsEndOnceTheyExceedTheHigherBudget() {
        open("ordinary").update(10, false);
        open("second").update(600, false);
        open("first").update(800, false);
        assertThat(ended).isEmpty();
        open("third").update(200, false);
        assertThat(ended).containsExactly("end first");
    }

    @Test
    void unfinishedRequestsGiveWayBeforeWholeOnes() {
        open("whole").update(1_400, false);
        open("unfinished").update(50, true);
        open("other").update(90, false);
        assertThat(ended).containsExactly("close unfinished");
    }

    @Test
    void aConnectionThatFreesItsMemoryIsNotEndedForIt() {
        ConnectionMemory freed = open("freed");
        freed.update(1_400, false);
        freed.update(10, false);
        open("other").update(900, false);
        assertThat(ended).isEmpty();
        assertThat(account.heldBytes()).isEqualTo(910);
    }
}
