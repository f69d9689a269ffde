package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;

/**
 * Guards against broadcasts that cross between data centres once for each instance, and against relays that lose
 * changes or make an instance believe that its copy of the store is complete when it isn't.
 */
final class RelayedBroadcastTest {

    /** Time for which an instance relies on a confirmation, with some milliseconds more. */
    private static final long VALID_MILLIS = 1_210;

    private static final long CONFIRMATION_INTERVAL_MILLIS = 400;

    private final List<SimulatedFleet> fleets = new ArrayList<>();

    private SimulatedFleet startFleet(int dataCentres, int instancesPerDataCentre) throws Exception {
        SimulatedFleet fleet = new SimulatedFleet(dataCentres, instancesPerDataCentre);
        fleets.add(fleet);
        return fleet;
    }

    /** Starts a fleet in which the leader has exchanged messages with its relays. */
    private SimulatedFleet startConnectedFleet(int dataCentres, int instancesPerDataCentre) throws Exception {
        SimulatedFleet fleet = startFleet(dataCentres, instancesPerDataCentre);
        fleet.broadcastConfirmation();
        fleet.deliver();
        return fleet;
    }

    @AfterEach
    void stopFleets() {
        fleets.forEach(SimulatedFleet::stop);
    }

    private static void assertUpToDate(SimulatedFleet fleet, List<SimulatedFleet.Instance> instances, long revision)
            throws Exception {
        for (SimulatedFleet.Instance instance : instances) {
            assertWithMessage(instance.self.name())
                    .that(fleet.get(instance.cache::revision))
                    .isEqualTo(revision);
            assertWithMessage(instance.self.name())
                    .that(fleet.get(instance.cache::receivesBroadcasts))
                    .isTrue();
        }
    }

    private static int messagesOfOneChange(SimulatedFleet fleet) throws Exception {
        int before = fleet.messagesBetweenDataCentres();
        long revision = fleet.broadcastChange("key");
        fleet.deliver();
        assertUpToDate(fleet, fleet.instances, revision);
        return fleet.messagesBetweenDataCentres() - before;
    }

    @Test
    void aChangeCrossesOnceToEachOtherDataCentreHoweverManyInstancesThereAre() throws Exception {
        // One delta to each of two data centres, and one acknowledgement of each.
        assertThat(messagesOfOneChange(startConnectedFleet(3, 5))).isEqualTo(4);
        assertThat(messagesOfOneChange(startConnectedFleet(3, 9))).isEqualTo(4);
    }

    @Test
    void dataCentresWithFewInstancesGetTheBroadcastDirectly() throws Exception {
        assertThat(messagesOfOneChange(startConnectedFleet(3, 3))).isEqualTo(6);
    }

    @Test
    void allInstancesGetEachChangeInOrderAndStayConfirmedWhenARelayIsLost() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(3, 5);
        List<SimulatedFleet.Instance> rest = new ArrayList<>(fleet.instances);
        SimulatedFleet.Instance relay = fleet.instancesOf(1).get(0);
        rest.remove(relay);
        fleet.advance(CONFIRMATION_INTERVAL_MILLIS);
        fleet.lose(relay);
        long first = fleet.broadcastChange("first");
        fleet.advance(100);
        long second = fleet.broadcastChange("second");
        fleet.deliver();
        fleet.advance(RelayedBroadcast.ACKNOWLEDGEMENT_TIMEOUT_MILLIS - 100);
        long third = fleet.broadcastChange("third");
        fleet.deliver();
        assertUpToDate(fleet, rest, third);
        for (SimulatedFleet.Instance instance : fleet.instancesOf(1).subList(1, 5)) {
            assertThat(instance.receivedRevisions.stream()
                            .filter(revision -> revision >= first)
                            .distinct())
                    .containsExactly(first, second, third)
                    .inOrder();
        }
        assertThat(fleet.metrics.counterValue("broadcasts.relays-replaced")).isEqualTo(1);
    }

    @Test
    void aRelayThatForwardsWithoutAcknowledgingDoesNoHarm() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(2, 5);
        fleet.loseResponses(fleet.instancesOf(1).get(0));
        fleet.broadcastChange("first");
        fleet.deliver();
        fleet.advance(RelayedBroadcast.ACKNOWLEDGEMENT_TIMEOUT_MILLIS);
        long second = fleet.broadcastChange("second");
        fleet.deliver();
        assertUpToDate(fleet, fleet.instances, second);
    }

    @Test
    void theInstancesGetTheBroadcastDirectlyAfterTwoRelaysFailedInARow() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(2, 5);
        List<SimulatedFleet.Instance> remote = fleet.instancesOf(1);
        fleet.advance(CONFIRMATION_INTERVAL_MILLIS);
        fleet.lose(remote.get(0));
        fleet.lose(remote.get(1));
        long revision = fleet.broadcastChange("key");
        fleet.deliver();
        fleet.advance(RelayedBroadcast.ACKNOWLEDGEMENT_TIMEOUT_MILLIS);
        fleet.deliver();
        fleet.advance(RelayedBroadcast.ACKNOWLEDGEMENT_TIMEOUT_MILLIS);
        fleet.deliver();
        assertUpToDate(fleet, remote.subList(2, 5), revision);
        long next = fleet.broadcastChange("next");
        fleet.deliver();
        assertUpToDate(fleet, remote.subList(2, 5), next);
    }

    /** A relay that was paused holds deltas that say nothing about the present state of the store. */
    @Test
    void aRelayThatWasPausedConfirmsNothingWithOldBroadcasts() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(2, 5);
        SimulatedFleet.Instance relay = fleet.instancesOf(1).get(0);
        SimulatedFleet.Instance other = fleet.instancesOf(1).get(1);
        int receivedBefore = other.receivedRevisions.size();
        fleet.pause(relay);
        fleet.broadcastConfirmation();
        fleet.lose(fleet.leader());
        fleet.advance(VALID_MILLIS);
        assertThat(fleet.get(other.cache::receivesBroadcasts)).isFalse();
        fleet.resume(relay);
        fleet.deliver();
        assertThat(fleet.get(relay.cache::receivesBroadcasts)).isFalse();
        assertThat(fleet.get(other.cache::receivesBroadcasts)).isFalse();
        assertThat(other.receivedRevisions).hasSize(receivedBefore + 1);
    }

    @Test
    void theFirstDeltaToARelayOfUnknownClockConfirmsNothingByItself() throws Exception {
        SimulatedFleet fleet = startFleet(2, 5);
        SimulatedFleet.Instance relay = fleet.instancesOf(1).get(0);
        SimulatedFleet.Instance other = fleet.instancesOf(1).get(1);
        fleet.advance(VALID_MILLIS);
        fleet.loseResponses(relay);
        long revision = fleet.broadcastChange("key");
        fleet.deliver();
        assertThat(fleet.get(other.cache::revision)).isEqualTo(revision);
        assertThat(fleet.get(other.cache::receivesBroadcasts)).isFalse();
    }

    @Test
    void theConfirmationFollowsAtOnceWhenTheRelayHasAnswered() throws Exception {
        SimulatedFleet fleet = startFleet(2, 5);
        fleet.advance(VALID_MILLIS);
        long revision = fleet.broadcastChange("key");
        fleet.deliver();
        assertUpToDate(fleet, fleet.instancesOf(1), revision);
    }

    /** Guards against an instance that is not told of a gap, or relies on a relay that forwards nothing any more. */
    @Test
    void anInstanceThatMissesTheBroadcastStopsToRelyOnIt() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(2, 5);
        SimulatedFleet.Instance instance = fleet.instancesOf(1).get(3);
        long known = fleet.get(instance.cache::revision);
        fleet.lose(instance);
        fleet.broadcastChange("missed");
        fleet.deliver();
        fleet.find(instance);
        fleet.broadcastChange("next");
        fleet.deliver();
        assertThat(fleet.get(instance.cache::revision)).isEqualTo(known);
        assertThat(fleet.get(instance.cache::receivesBroadcasts)).isFalse();
        fleet.lose(fleet.leader());
        fleet.advance(VALID_MILLIS);
        assertThat(fleet.get(fleet.instancesOf(1).get(1).cache::receivesBroadcasts))
                .isFalse();
    }

    /** A former leader may still broadcast, and a relay can't know that it is one. */
    @Test
    void aForwardedDeltaOfAFormerLeaderHasTheEffectOfADirectOne() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(2, 5);
        MemberRecord formerLeader = new MemberRecord("former", "boot", "former:1", "dc-9", 1);
        SimulatedFleet.Instance relay = fleet.instancesOf(1).get(0);
        SimulatedFleet.Instance forwardedTo = fleet.instancesOf(1).get(1);
        SimulatedFleet.Instance direct = fleet.instancesOf(0).get(1);
        long known = fleet.get(direct.cache::revision);
        MirrorAnswer.Item leaderItem =
                new MirrorAnswer.Item(StoreKeys.LEADER, known + 9, 5, false, RecordCodec.encode(formerLeader));
        MirrorDelta old = SimulatedFleet.change("old", known - 3, known - 2);
        MirrorDelta gap = new MirrorDelta(known + 9, known + 9, 0, List.of(leaderItem), List.of(), List.of());
        for (MirrorDelta delta : List.of(old, gap)) {
            fleet.run(() -> {
                direct.receive(delta);
                relay.receive(delta.forRelay(0, relay.clock.nowMillis()));
            });
            fleet.deliver();
            for (SimulatedFleet.Instance instance : List.of(direct, relay, forwardedTo)) {
                assertThat(fleet.get(instance.cache::revision)).isEqualTo(known);
            }
            assertThat(fleet.get(forwardedTo.cache::receivesBroadcasts))
                    .isEqualTo(fleet.get(direct.cache::receivesBroadcasts));
        }
        for (SimulatedFleet.Instance instance : List.of(direct, relay, forwardedTo)) {
            assertThat(fleet.get(() -> instance.tracker().view().leader().map(LeaderRecord::member)))
                    .hasValue(formerLeader);
        }
    }

    @Test
    void clocksThatStartedAtDifferentTimesDoNotMatter() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(3, 5);
        for (int round = 0; round < 60; round++) {
            fleet.advance(CONFIRMATION_INTERVAL_MILLIS);
            fleet.broadcastConfirmation();
            fleet.deliver();
            for (SimulatedFleet.Instance instance : fleet.instances.subList(1, 15)) {
                assertThat(fleet.get(instance.cache::ageMillis)).isAtMost(10);
            }
        }
        assertThat(fleet.metrics.counterValue("broadcasts.relays-replaced")).isEqualTo(0);
    }

    /** Guards against relays that are avoided because the leader had no processor time to read their answers. */
    @Test
    void aLeaderThatWasPausedItselfKeepsItsRelays() throws Exception {
        SimulatedFleet fleet = startConnectedFleet(3, 5);
        long revision = fleet.broadcastChange("key");
        fleet.advance(600);
        fleet.deliver();
        assertUpToDate(fleet, fleet.instances, revision);
        assertThat(fleet.metrics.counterValue("broadcasts.relays-replaced")).isEqualTo(0);
    }
}
