package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewind.router.state.MemberRecord;

/** Guards against a relay that is kept although it fails, or that is not used again after it has recovered. */
final class RelayChoiceTest {

    private static final String REMOTE = "dc-2";

    private final RelayChoice choice = new RelayChoice();
    private final List<MemberRecord> members = new ArrayList<>(IntStream.range(0, 5)
            .mapToObj(index -> new MemberRecord("entry-" + index, "boot", "a:" + index, REMOTE, 1.0 / (index + 1)))
            .toList());
    private long nowMillis = 10_000;

    private Optional<MemberRecord> relay() {
        return choice.relayOf(REMOTE, members, nowMillis);
    }

    @Test
    void theNextInstanceTakesThePlaceOfARelayThatFails() {
        choice.recordFailure(members.get(0), nowMillis);
        assertThat(relay()).hasValue(members.get(1));
    }

    @Test
    void aRelayThatFailedOnceIsUsedAgainAfterSomeTime() {
        choice.recordFailure(members.get(0), nowMillis);
        choice.recordAcknowledgement(members.get(1));
        nowMillis += 4_999;
        assertThat(relay()).hasValue(members.get(1));
        nowMillis += 1;
        assertThat(relay()).hasValue(members.get(0));
    }

    @Test
    void aRelayThatFailsAgainIsAvoidedForLonger() {
        choice.recordFailure(members.get(0), nowMillis);
        choice.recordAcknowledgement(members.get(1));
        nowMillis += 5_000;
        choice.recordFailure(members.get(0), nowMillis);
        choice.recordAcknowledgement(members.get(1));
        nowMillis += 9_999;
        assertThat(relay()).hasValue(members.get(1));
        nowMillis += 1;
        assertThat(relay()).hasValue(members.get(0));
    }

    @Test
    void aDataCentreHasNoRelayForSomeTimeAfterTwoFailedInARow() {
        choice.recordFailure(members.get(0), nowMillis);
        choice.recordFailure(members.get(1), nowMillis);
        assertThat(relay()).isEmpty();
        nowMillis += 5_000;
        assertThat(relay()).hasValue(members.get(0));
    }

    @Test
    void aRestartedInstanceIsNotAvoidedForTheFailuresOfItsFormerProcess() {
        choice.recordFailure(members.get(0), nowMillis);
        members.set(0, new MemberRecord("entry-0", "boot-2", "a:0", REMOTE, 1));
        assertThat(relay()).hasValue(members.get(0));
    }

    @Test
    void theFailuresOfInstancesThatLeftAreForgotten() {
        choice.recordFailure(members.get(0), nowMillis);
        choice.retain(members.subList(1, 5));
        assertThat(relay()).hasValue(members.get(0));
    }

    @Test
    void aDataCentreWithFewInstancesHasNoRelay() {
        assertThat(choice.relayOf(REMOTE, members.subList(0, 3), nowMillis)).isEmpty();
        assertThat(choice.relayOf(REMOTE, members.subList(0, 4), nowMillis)).isPresent();
    }
}
