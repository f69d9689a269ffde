package org.snipewind.coordination.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: the machine of the leader is removed without a word while the whole fleet presses on. Guards against
 * seconds in which all organisations are refused until a lease has run out that nobody can use any more, and against
 * two leaders that issue tokens at the same time.
 */
final class SilentFormerLeaderTest {

    private static final long REPORT_MILLIS = 400;
    private static final long LEASE_MILLIS = 4_000;
    private static final List<String> OTHERS = List.of("a#1", "b#1", "c#1");

    private final FollowerTracker followers = new FollowerTracker();

    @Test
    void aSuccessorToWhichAllReportWaitsForLessThanHalfOfTheLease() {
        followers.beginTerm(0);
        long now = 0;
        while (!followers.haveLeftFormerLeader(OTHERS, now)) {
            now += 50;
            if (now % REPORT_MILLIS == 0) {
                for (String each : OTHERS) {
                    followers.recordReport(each, now);
                }
            }
        }
        assertThat(now).isLessThan(LEASE_MILLIS / 2 + 50);
    }

    @Test
    void aSuccessorIssuesOnlyAfterAFormerLeaderThatHearsNobodyHasStopped() {
        // The former leader heard the last report just before its sender began to report to the successor.
        FollowerTracker former = new FollowerTracker();
        former.beginTerm(0);
        former.recordReport("a#1", 1_000);
        followers.beginTerm(900);
        OTHERS.forEach(each -> followers.recordReport(each, 1_000));
        for (long now = 1_000; now < 5_000; now += 10) {
            boolean successorIssues = followers.haveLeftFormerLeader(OTHERS, now);
            boolean formerIssues = !former.isIsolated(() -> true, now);
            assertThat(successorIssues && formerIssues).isFalse();
        }
    }

    @Test
    void aSuccessorWaitsWhileAnyListedInstanceMayStillFollowTheFormerLeader() {
        followers.beginTerm(0);
        followers.recordReport("a#1", 400);
        followers.recordReport("b#1", 400);
        assertThat(followers.haveLeftFormerLeader(OTHERS, 3_900)).isFalse();
        // A process that starts again may have asked the former leader in the meantime.
        followers.recordReport("c#2", 400);
        assertThat(followers.haveLeftFormerLeader(OTHERS, 3_900)).isFalse();
    }

    @Test
    void anInstanceThatJoinsBeginsTheWaitAnew() {
        followers.beginTerm(0);
        OTHERS.forEach(each -> followers.recordReport(each, 100));
        assertThat(followers.haveLeftFormerLeader(OTHERS, 100)).isFalse();
        List<String> more = new ArrayList<>(OTHERS);
        more.add("d#1");
        assertThat(followers.haveLeftFormerLeader(more, 1_000)).isFalse();
        followers.recordReport("d#1", 1_000);
        assertThat(followers.haveLeftFormerLeader(more, 1_600)).isFalse();
        assertThat(followers.haveLeftFormerLeader(more, 3_100)).isTrue();
    }

    @Test
    void aLeaderWithoutOtherInstancesIsNotIsolated() {
        followers.beginTerm(0);
        assertThat(followers.isIsolated(() -> false, 60_000)).isFalse();
        assertThat(followers.isIsolated(() -> true, 1_000)).isFalse();
        assertThat(followers.isIsolated(() -> true, 1_300)).isTrue();
        followers.recordReport("a#1", 1_300);
        assertThat(followers.isIsolated(() -> true, 1_300)).isFalse();
    }
}
