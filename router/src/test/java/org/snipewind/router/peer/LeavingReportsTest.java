package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a leader that is never told of a target that is leaving, so that its keys stay there. */
final class LeavingReportsTest {

    private final LeavingReports reports = new LeavingReports();

    @Test
    void aTargetIsReportedUntilTheLeaderConfirmsIt() {
        assertThat(reports.unconfirmed("first", Set.of("a@1"))).containsExactly("a@1");
        assertThat(reports.unconfirmed("first", Set.of("a@1"))).containsExactly("a@1");
        reports.confirm("first", List.of("a@1"));
        assertThat(reports.unconfirmed("first", Set.of("a@1", "b@1"))).containsExactly("b@1");
    }

    @Test
    void theConfirmationOfAReplacedLeaderDoesNotCountForItsSuccessor() {
        List<String> reported = reports.unconfirmed("first", Set.of("a@1"));
        reports.unconfirmed("second", Set.of("a@1"));
        reports.confirm("first", reported);
        assertThat(reports.unconfirmed("second", Set.of("a@1"))).containsExactly("a@1");
    }

    @Test
    void aNewLeaderIsToldOfWhatTheFormerOneConfirmed() {
        reports.confirm("first", reports.unconfirmed("first", Set.of("a@1")));
        assertThat(reports.unconfirmed("second", Set.of("a@1"))).containsExactly("a@1");
    }
}
