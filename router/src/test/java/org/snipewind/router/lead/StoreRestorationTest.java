package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.restore.StorePosition;

/**
 * Guards against two holders of a key, epochs that are assigned again, two leaders and views that go back, after the
 * store was restored from an older copy and has lost acknowledged writes.
 */
final class StoreRestorationTest {

    private static final int INSTANCES = 4;
    private static final int TARGETS = 4;

    /** Long enough for an election and the first plan of all keys. */
    private static final long SETTLE_MILLIS = 6_000;

    /** Longest time from a restoration until a new leader acts, and then for its takeover. */
    private static final long RECOVERY_MILLIS = LeaderTimes.earlierEraRightsMillis() + 6_000;

    private final RestorationFleet fleet = new RestorationFleet(1, INSTANCES, TARGETS);

    private SimulatedInstance leader() {
        assertThat(fleet.leaders()).hasSize(1);
        return fleet.leaders().get(0);
    }

    private Map<Integer, List<String>> holders() {
        Map<Integer, List<String>> holders = new HashMap<>();
        for (int key : RestorationFleet.CHECKED_KEYS) {
            holders.put(key, fleet.targets().holders(key));
        }
        return holders;
    }

    private void assertEachKeyHasAHolder() {
        holders()
                .forEach((key, found) ->
                        assertWithMessage("key %s", key).that(found).hasSize(1));
    }

    /** Guards against an instance that keeps items that the store has lost, since their revisions are higher. */
    @Test
    void allInstancesFollowTheRestoredStore() {
        fleet.run(SETTLE_MILLIS);
        RestorableStore.Copy copy = fleet.copy();
        for (int write = 0; write < 50; write++) {
            fleet.writeNextConfiguration();
        }
        fleet.writeTarget("t9", false);
        fleet.run(1_000);
        fleet.restore(copy, true);
        fleet.run(5_000);
        for (SimulatedInstance instance : fleet.instances()) {
            assertThat(instance.eraOfCache()).isEqualTo(1);
            assertThat(instance.cache().eras().era()).isEqualTo(1);
            assertThat(instance.version()).isEqualTo(fleet.version());
            assertThat(StorePosition.revisionOf(instance.cache().revision()))
                    .isEqualTo(fleet.store().revision());
            assertThat(instance.tracker().view().members()).hasSize(INSTANCES);
        }
    }

    /** Guards against a lost table, by which a later leader gives keys to those that held them before. */
    @Test
    void aLeaderWhoseLeaseIsInTheCopyWritesItsTableAgainAndLeadsOn() {
        fleet.run(SETTLE_MILLIS);
        SimulatedInstance leader = leader();
        RestorableStore.Copy copy = fleet.copy();
        fleet.writeTarget("t0", true);
        fleet.run(3_000);
        List<KeyAssignment> before = fleet.storedTable().assignments();
        Map<Integer, List<String>> holdersBefore = holders();
        fleet.restore(copy, true);
        assertThat(fleet.storedTable().assignments()).isNotEqualTo(before);
        // The proof of the lease, a read of all items and the write, with a watch that ends before.
        fleet.run(1_000);
        assertThat(fleet.storedTable().assignments()).isEqualTo(before);
        assertThat(fleet.leaders()).containsExactly(leader);
        for (int second = 0; second < 5; second++) {
            assertThat(holders()).isEqualTo(holdersBefore);
            fleet.run(1_000);
        }
    }

    /** Guards against a second holder: keys that a lost leader has moved may have another one than the table says. */
    @Test
    void aLeaderThatLeadsOnMovesNoKeysUntilAllEarlierRightsHaveExpired() {
        fleet.run(SETTLE_MILLIS);
        List<KeyAssignment> before = fleet.storedTable().assignments();
        fleet.restore(fleet.copy(), true);
        fleet.dropWritesDue();
        fleet.writeTarget("t0", true);
        fleet.run(LeaderTimes.earlierEraRightsMillis() - 200);
        assertThat(fleet.storedTable().assignments()).isEqualTo(before);
        fleet.run(4_000);
        assertThat(fleet.storedTable().assignments().stream().map(KeyAssignment::holder))
                .doesNotContain("t0@1");
        assertThat(fleet.storedTable().highestEpoch()).isGreaterThan(StorePosition.of(1, 0));
        assertEachKeyHasAHolder();
    }

    /** Guards against two leaders: the lease may have been opened by another instance since the copy was made. */
    @Test
    void aLeaderWhoseLeaseIsLostDoesNotActUntilAllEarlierRightsHaveExpired() {
        fleet.run(SETTLE_MILLIS);
        fleet.restore(fleet.copy(), false);
        // Its next call, which tells it of the new era, comes within the interval of renewals. It may become the new
        // leader then, which waits like any other.
        fleet.run(LeaderTimes.LEASE_RENEWAL_INTERVAL_MILLIS + 200);
        int requests = fleet.targets().requests();
        fleet.run(LeaderTimes.earlierEraRightsMillis() - LeaderTimes.LEASE_RENEWAL_INTERVAL_MILLIS - 200);
        assertThat(fleet.targets().requests()).isEqualTo(requests);
        fleet.run(6_000);
        assertEachKeyHasAHolder();
        assertThat(fleet.storedTable().highestEpoch()).isGreaterThan(StorePosition.of(1, 0));
    }

    /** Guards against twice the rate of an organisation: the leader that is known to have ended may not be the last. */
    @Test
    void aNewLeaderIssuesNoTokensUntilTheLongestLeaseOfTheEarlierEraHasExpired() {
        fleet.run(SETTLE_MILLIS);
        long restoredMillis = fleet.nowMillis();
        fleet.restore(fleet.copy(), false);
        while (fleet.leaders().isEmpty() || leader().eraOfCache() == 0) {
            fleet.run(5);
        }
        leader().confirmFormerLeaderEnded();
        long endMillis = restoredMillis + LeaderTimes.LEASE_LIFETIME_MILLIS;
        assertThat(fleet.nowMillis()).isLessThan(endMillis);
        assertThat(leader().requestToken().retryAfterMillis()).isAtLeast(endMillis - fleet.nowMillis());
    }

    /** Guards against a second holder: the table of the killed leader is lost, but its last grants are in force. */
    @Test
    void aSuccessorOfALeaderThatIsKilledDuringTheRestorationWaitsForItsGrants() {
        fleet.run(SETTLE_MILLIS);
        RestorableStore.Copy copy = fleet.copy();
        fleet.writeTarget("t0", true);
        fleet.run(3_000);
        Map<Integer, List<String>> holdersBefore = holders();
        fleet.restore(copy, true);
        fleet.run(5);
        fleet.kill(leader());
        fleet.run(1_000);
        int requests = fleet.targets().requests();
        fleet.run(LeaderTimes.earlierEraRightsMillis() - 2_000);
        assertThat(fleet.targets().requests()).isEqualTo(requests);
        fleet.run(6_000);
        // The successor knows the lost table and keeps its holders.
        assertThat(holders()).isEqualTo(holdersBefore);
    }

    /**
     * Replaces the leader without its knowledge. The successor has the keys of t0 released and granted to others; then
     * its term and its table are lost with the store, while it acts on. The leader has contact again.
     */
    private void loseSuccessorThatHasMovedKeys() {
        fleet.run(SETTLE_MILLIS);
        SimulatedInstance former = leader();
        RestorableStore.Copy copy = fleet.copy();
        fleet.setExchanging(false);
        fleet.setIsolated(former, true);
        fleet.instances().stream()
                .filter(each -> each != former)
                .findFirst()
                .orElseThrow()
                .replaceLeader();
        fleet.run(1_500);
        fleet.writeTarget("t0", true);
        fleet.run(1_200);
        assertThat(fleet.leaders().size()).isGreaterThan(1);
        SimulatedInstance successor = fleet.leaders().stream()
                .filter(each -> each != former)
                .findFirst()
                .orElseThrow();
        fleet.setIsolated(successor, true);
        fleet.restore(copy, true);
        fleet.dropWritesDue();
        fleet.setIsolated(former, false);
    }

    /** Guards against a second holder: the leader's table gives the moved keys to their former holder. */
    @Test
    void aLeaderThatWasReplacedWithoutKnowingItTakesNoKeysFromTheHoldersOfItsLostSuccessor() {
        loseSuccessorThatHasMovedKeys();
        fleet.run(RECOVERY_MILLIS);
        fleet.instances().forEach(each -> fleet.setIsolated(each, false));
        fleet.run(2_000);
        assertEachKeyHasAHolder();
        assertThat(fleet.leaders()).hasSize(1);
    }

    /** Guards against a second holder: the former holder releases the moved keys at once, as it has none of them. */
    @Test
    void aLeaderThatWasReplacedWithoutKnowingItMovesNoKeysUntilTheGrantsOfItsLostSuccessorHaveExpired() {
        loseSuccessorThatHasMovedKeys();
        fleet.writeTarget("t9", false);
        fleet.writeTarget("t0", true);
        fleet.run(RECOVERY_MILLIS);
        fleet.instances().forEach(each -> fleet.setIsolated(each, false));
        fleet.run(2_000);
        assertEachKeyHasAHolder();
    }

    /** Guards against an instance that serves by lost items, or brings them back, after it was out of contact. */
    @Test
    void anInstanceThatWasOutOfContactTakesTheNewEraOver() {
        fleet.run(SETTLE_MILLIS);
        SimulatedInstance away = fleet.instances().stream()
                .filter(each -> !each.isLeading())
                .findFirst()
                .orElseThrow();
        RestorableStore.Copy copy = fleet.copy();
        fleet.writeTarget("t9", false);
        fleet.run(1_000);
        fleet.setIsolated(away, true);
        fleet.restore(copy, true);
        fleet.dropWritesDue();
        fleet.run(4_000);
        assertThat(away.cache().eras().newestKnown()).isEqualTo(0);
        assertThat(away.tracker().view().targets()).containsKey("t9");
        // Peers that have the old copy's items offered again keep what the store has.
        fleet.instances().stream().filter(each -> each != away).forEach(each -> each.applyCopyOf(away));
        fleet.setIsolated(away, false);
        fleet.run(5_000);
        for (SimulatedInstance instance : fleet.instances()) {
            assertThat(instance.eraOfCache()).isEqualTo(1);
            assertThat(instance.tracker().view().targets()).doesNotContainKey("t9");
        }
    }

    /** Guards against the end of another instance's lease, which has the number of the former leader's lease now. */
    @Test
    void anInstanceThatHasNotReadTheRestoredStoreEndsNoLease() {
        RestorableStore.Copy empty = fleet.copy();
        fleet.run(SETTLE_MILLIS);
        fleet.setExchanging(false);
        SimulatedInstance away = fleet.instances().stream()
                .filter(each -> !each.isLeading())
                .findFirst()
                .orElseThrow();
        away.client().setReadsCut(true);
        long formerLease = away.tracker().view().leader().orElseThrow().leaseId();
        fleet.restore(empty, false);
        long lease = 0;
        while (lease < formerLease) {
            lease = fleet.store().openLease(60_000);
        }
        assertThat(lease).isEqualTo(formerLease);
        fleet.store().commit("other/item", 0, new byte[0], lease);
        while (away.cache().eras().era() == 0) {
            fleet.run(5);
        }
        assertThat(away.eraOfCache()).isEqualTo(0);
        away.replaceLeader();
        fleet.run(1_000);
        assertThat(fleet.store().item("other/item")).isPresent();
    }

    /** Guards against a leader that acts on after another instance has told it that its lease may be lost. */
    @Test
    void aLeaderThatLearnsTheEraFromAPeerFirstStopsUntilTheStoreHasConfirmedItsLease() {
        fleet.run(SETTLE_MILLIS);
        SimulatedInstance leader = leader();
        leader.client().setCut(true);
        RestorableStore.Copy copy = fleet.copy();
        fleet.writeNextConfiguration();
        fleet.restore(copy, true);
        fleet.run(1_600);
        SimulatedInstance peer = fleet.instances().stream()
                .filter(each -> each != leader)
                .findFirst()
                .orElseThrow();
        assertThat(peer.eraOfCache()).isEqualTo(1);
        leader.applyCopyOf(peer);
        assertThat(leader.cache().eras().era()).isEqualTo(0);
        assertThat(leader.cache().eras().newestKnown()).isEqualTo(1);
        assertThat(leader.eraOfCache()).isEqualTo(1);
        assertThat(leader.isLeading()).isFalse();
        leader.client().setCut(false);
        fleet.run(RECOVERY_MILLIS);
        assertThat(leader.cache().eras().era()).isEqualTo(1);
        assertThat(fleet.leaders()).hasSize(1);
        assertEachKeyHasAHolder();
    }

    /** Guards against a wrong era of a peer that keeps an instance from the store permanently. */
    @Test
    void aWrongEraOfAPeerIsGivenUpOnceTheStoreHasProvedItWrong() {
        fleet.run(SETTLE_MILLIS);
        SimulatedInstance leader = leader();
        leader.cache()
                .applyPeerSnapshot(
                        StorePosition.of(3, 7), 0, List.copyOf(leader.cache().snapshot()));
        assertThat(leader.isLeading()).isFalse();
        fleet.run(5_000);
        assertThat(leader.eraOfCache()).isEqualTo(0);
        assertThat(leader.isLeading()).isTrue();
        assertEachKeyHasAHolder();
    }

    @Test
    void twoRestorationsInARowAreFollowedLikeOne() {
        fleet.run(SETTLE_MILLIS);
        RestorableStore.Copy copy = fleet.copy();
        fleet.writeTarget("t0", true);
        fleet.run(2_000);
        fleet.restore(copy, true);
        fleet.run(60);
        fleet.restore(copy, true);
        fleet.run(RECOVERY_MILLIS);
        for (SimulatedInstance instance : fleet.instances()) {
            assertThat(instance.eraOfCache()).isEqualTo(2);
            assertThat(instance.tracker().view().members()).hasSize(INSTANCES);
        }
        assertEachKeyHasAHolder();
        fleet.writeTarget("t1", true);
        fleet.run(4_000);
        assertThat(fleet.storedTable().highestEpoch()).isGreaterThan(StorePosition.of(2, 0));
    }

    /** Guards against keys that never get a holder, because no leader takes a lost table over. */
    @Test
    void aStoreThatHasLostEverythingIsFilledAgain() {
        RestorableStore.Copy empty = fleet.copy();
        fleet.run(SETTLE_MILLIS);
        fleet.restore(empty, false);
        fleet.run(RECOVERY_MILLIS);
        assertEachKeyHasAHolder();
        assertThat(fleet.storedTable().assignments()).isNotEmpty();
        assertThat(fleet.instances().get(0).tracker().view().members()).hasSize(INSTANCES);
    }
}
