package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against observations that are lost, repeated or returned to their observer. */
final class ObservationExchangeTest {

    private final ObservationExchange exchange = new ObservationExchange();

    private static TargetObservation responses(int target, int count, int tenths) {
        return new TargetObservation(target, count, tenths, 0, Optional.empty());
    }

    @Test
    void observationsOfTheSameTargetAreMerged() {
        exchange.exchange("a", 0, List.of(responses(1, 1, 1_000)), 100);
        exchange.exchange("b", 0, List.of(responses(1, 3, 2_000), responses(2, 1, 500)), 150);
        assertThat(exchange.exchange("c", 0, List.of(), 200).observations())
                .containsExactly(responses(1, 4, 1_750), responses(2, 1, 500));
    }

    @Test
    void anInstanceGetsNoObservationOfItsOwn() {
        ObservationExchange.Result own = exchange.exchange("a", 0, List.of(responses(1, 1, 1_000)), 100);
        assertThat(own.observations()).isEmpty();
        assertThat(exchange.exchange("a", 0, List.of(), 200).observations()).isEmpty();
    }

    @Test
    void eachObservationIsReturnedOnce() {
        exchange.exchange("a", 0, List.of(responses(1, 1, 1_000)), 100);
        ObservationExchange.Result first = exchange.exchange("b", 0, List.of(), 150);
        assertThat(first.observations()).hasSize(1);
        assertThat(exchange.exchange("b", first.sequence(), List.of(), 200).observations())
                .isEmpty();
    }

    /** Guards against a gap after an answer that was lost. */
    @Test
    void anAnswerThatWasLostIsContainedInTheNextOne() {
        exchange.exchange("a", 0, List.of(responses(1, 1, 1_000)), 100);
        exchange.exchange("b", 0, List.of(), 150);
        exchange.exchange("a", 0, List.of(responses(2, 1, 1_000)), 350);
        assertThat(exchange.exchange("b", 0, List.of(), 400).observations()).hasSize(2);
    }

    /** Guards against an instance that gets nothing from a relay that was restarted and counts from the start. */
    @Test
    void aNumberOfAnEarlierProcessCountsAsNone() {
        exchange.exchange("a", 0, List.of(responses(1, 1, 1_000)), 100);
        assertThat(exchange.exchange("b", 900, List.of(), 150).observations()).hasSize(1);
    }

    @Test
    void theNewestLoadReportIsReturnedWithItsAge() {
        ObservedLoad older = new ObservedLoad(50, 3, 4, 3, 100);
        ObservedLoad newer = new ObservedLoad(10, 1, 0, 3, 100);
        exchange.exchange("a", 0, List.of(new TargetObservation(1, 0, 0, 0, Optional.of(older))), 100);
        exchange.exchange("b", 0, List.of(new TargetObservation(1, 0, 0, 0, Optional.of(newer))), 150);
        TargetObservation merged =
                exchange.exchange("c", 0, List.of(), 200).observations().get(0);
        assertThat(merged.load()).isEqualTo(Optional.of(new ObservedLoad(60, 1, 0, 3, 100)));
    }

    /** Guards against memory that grows with senders that send without end. */
    @Test
    void theNumberOfObservationsIsLimited() {
        List<TargetObservation> many = new ArrayList<>();
        for (int target = 0; target < 20_000; target++) {
            many.add(responses(target, 1, 1_000));
        }
        exchange.exchange("a", 0, many, 100);
        assertThat(exchange.exchange("b", 0, List.of(), 100).observations().size())
                .isAtMost(8_192);
    }
}
