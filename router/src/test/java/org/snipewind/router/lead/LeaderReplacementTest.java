package org.snipewind.router.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.quota.QuotaSplit;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;

/**
 * Guards against two holders of a key after the replacement of a leader that does not know of it, when responses of the
 * store are lost on the way.
 */
final class LeaderReplacementTest {

    /** Long enough for an election and the first plan of all keys. */
    private static final long SETTLE_MILLIS = 6_000;

    /** Longer than a lease and a grant that is renewed at its end. */
    private static final long RIGHTS_MILLIS = 9_000;

    private final RestorationFleet fleet = new RestorationFleet(1, 4, 4);

    private SimulatedInstance leader() {
        assertThat(fleet.leaders()).hasSize(1);
        return fleet.leaders().get(0);
    }

    /** Cuts the leader off from the store and the others, and a target that it reaches off from these. */
    private List<SimulatedInstance> separateLeader() {
        return separate(fleet, leader());
    }

    private static List<SimulatedInstance> separate(RestorationFleet fleet, SimulatedInstance leader) {
        List<SimulatedInstance> others =
                fleet.instances().stream().filter(each -> each != leader).toList();
        others.forEach(each -> each.setCutFromTarget(fleet.targets().holders(0).get(0)));
        fleet.setIsolated(leader, true);
        return others;
    }

    /**
     * A successor whose claim failed after the end of the former lease left no trace of the former leader, and the next
     * one did not wait until the rights of that leader had expired.
     */
    @Test
    void aFormerLeaderIsAllowedForAfterAClaimWithoutAResponse() {
        fleet.run(SETTLE_MILLIS);
        List<SimulatedInstance> others = separateLeader();
        others.get(0).client().setEndsOfLeasesUnanswered(true);
        others.get(0).replaceLeader();
        // The simulation checks the holders of the keys in each step.
        fleet.run(RIGHTS_MILLIS);
        assertThat(fleet.leaders()).hasSize(1);
    }

    /** The successor's successor did not know of a leader that had been replaced shortly before. */
    @Test
    void aFormerLeaderIsAllowedForAfterItsSuccessorHasStopped() {
        fleet.run(SETTLE_MILLIS);
        List<SimulatedInstance> others = separateLeader();
        others.get(0).replaceLeader();
        fleet.run(1_000);
        assertThat(others.get(0).isLeading()).isTrue();
        others.get(0).stop();
        fleet.run(RIGHTS_MILLIS);
        assertThat(fleet.leaders()).hasSize(1);
    }

    /**
     * After a restoration of the store, lease numbers are assigned again. The record of an earlier process of the
     * successor, whose lease had the number of the leader's, hid the leader.
     */
    @Test
    void aFormerLeaderIsRecordedBesideAnotherProcessWithTheNumberOfItsLease() {
        RestorationFleet pair = new RestorationFleet(1, 2, 4);
        pair.run(SETTLE_MILLIS);
        SimulatedInstance former = pair.leaders().get(0);
        SimulatedInstance successor = separate(pair, former).get(0);
        long leaseId = pair.store().item(StoreKeys.LEADER).orElseThrow().lease();
        MemberRecord earlier = new MemberRecord(successor.member().name(), "earlier", "127.0.0.1:1", "dc", 1);
        pair.store()
                .put(
                        StoreKeys.FORMER_LEADERS,
                        RecordCodec.encodeLeaders(List.of(new LeaderRecord(earlier, leaseId, 0))));
        pair.run(200);
        successor.client().setEndsOfLeasesUnanswered(true);
        successor.replaceLeader();
        pair.run(RIGHTS_MILLIS);
        assertThat(pair.leaders()).containsExactly(successor);
    }

    @Test
    void formerLeadersAreForgottenOnceTheirRightsHaveExpired() {
        fleet.run(SETTLE_MILLIS);
        List<SimulatedInstance> others = separateLeader();
        others.get(0).replaceLeader();
        fleet.run(RIGHTS_MILLIS);
        SimulatedInstance second = leader();
        // Its lease ends by itself, so its successor has nobody to wait for.
        fleet.kill(second);
        fleet.run(LeaderTimes.LEASE_LIFETIME_MILLIS + 1_000);
        assertThat(leader()).isNotEqualTo(second);
        assertThat(leader().requestToken().retryAfterMillis()).isAtMost(QuotaSplit.TOKEN_LIFETIME_MILLIS);
    }
}
