package org.snipewind.coordination.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: the machine of the leader fails without notice under full load. Guards against seconds in which all
 * organisations are refused until the lease of the failed leader has expired, and against two leaders that issue tokens
 * at the same time.
 */
final class UnresponsiveFormerLeaderTest {

    private static final long REPORT_INTERVAL_MILLIS = 400;
    private static final long LEASE_MILLIS = 4_000;
    private static final List<String> FOLLOWERS = List.of("a#1", "b#1", "c#1");

    private final FollowerTracker tracker = new FollowerTracker();

    @Test
    void aSuccessorToWhichAllInstancesReportWaitsForLessThanHalfOfTheLease() {
        tracker.beginTerm(0);
        long nowMillis = 0;
        while (!tracker.haveLeftFormerLeader(FOLLOWERS, nowMillis)) {
            nowMillis += 50;
            if (nowMillis % REPORT_INTERVAL_MILLIS == 0) {
                for (String process : FOLLOWERS) {
                    tracker.recordReport(process, nowMillis);
                }
            }
        }
        assertThat(nowMillis).isLessThan(LEASE_MILLIS / 2 + 50);
    }

    @Test
    void aSuccessorIssuesOnlyAfterAFormerLeaderWithoutReportsHasStopped() {
        // The former leader received the last report just before its sender switched to the successor.
        FollowerTracker formerTracker = new FollowerTracker();
        formerTracker.beginTerm(0);
        formerTracker.recordReport("a#1", 1_000);
        tracker.beginTerm(900);
        FOLLOWERS.forEach(process -> tracker.recordReport(process, 1_000));
        for (long nowMillis = 1_000; nowMillis < 5_000; nowMillis += 10) {
            boolean successorIssues = tracker.haveLeftFormerLeader(FOLLOWERS, nowMillis);
            boolean formerIssues = !formerTracker.isIsolated(() -> true, nowMillis);
            assertThat(successorIssues && formerIssues).isFalse();
        }
    }

    @Test
    void aSuccessorWaitsWhileAnyRegisteredInstanceMayFollowTheFormerLeader() {
        tracker.beginTerm(0);
        tracker.recordReport("a#1", 400);
        tracker.recordReport("b#1", 400);
        assertThat(tracker.haveLeftFormerLeader(FOLLOWERS, 3_900)).isFalse();
        // A report of the restarted process c#2 does not count for c#1: the instance may have requested tokens from the
        // former leader in the meantime.
        tracker.recordReport("c#2", 400);
        assertThat(tracker.haveLeftFormerLeader(FOLLOWERS, 3_900)).isFalse();
    }

    @Test
    void anInstanceThatJoinsRestartsTheWait() {
        tracker.beginTerm(0);
        FOLLOWERS.forEach(process -> tracker.recordReport(process, 100));
        assertThat(tracker.haveLeftFormerLeader(FOLLOWERS, 100)).isFalse();
        List<String> withJoined = new ArrayList<>(FOLLOWERS);
        withJoined.add("d#1");
        assertThat(tracker.haveLeftFormerLeader(withJoined, 1_000)).isFalse();
        tracker.recordReport("d#1", 1_000);
        assertThat(tracker.haveLeftFormerLeader(withJoined, 1_600)).isFalse();
        assertThat(tracker.haveLeftFormerLeader(withJoined, 3_100)).isTrue();
    }

    @Test
    void aLeaderWithoutOtherInstancesIsNotIsolated() {
        tracker.beginTerm(0);
        assertThat(tracker.isIsolated(() -> false, 60_000)).isFalse();
        assertThat(tracker.isIsolated(() -> true, 1_000)).isFalse();
        assertThat(tracker.isIsolated(() -> true, 1_300)).isTrue();
        tracker.recordReport("a#1", 1_300);
        assertThat(tracker.isIsolated(() -> true, 1_300)).isFalse();
    }
}
