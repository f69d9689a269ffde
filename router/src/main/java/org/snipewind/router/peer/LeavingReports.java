package org.snipewind.router.peer;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The targets that are leaving and that the present leader has confirmed. Not thread-safe. */
final class LeavingReports {

    private final Set<String> confirmed = new HashSet<>();
    private String leaderBootId = "";

    /**
     * Returns the targets of which a leader is to be told.
     *
     * @param bootId boot of the present leader; another one than before has confirmed nothing yet
     * @param leaving incarnations of all targets that are leaving; others are forgotten
     * @return those that the leader has not confirmed
     */
    List<String> unconfirmed(String bootId, Set<String> leaving) {
        if (!bootId.equals(leaderBootId)) {
            leaderBootId = bootId;
            confirmed.clear();
        }
        confirmed.retainAll(leaving);
        return leaving.stream()
                .filter(incarnation -> !confirmed.contains(incarnation))
                .toList();
    }

    /** Records that a leader has confirmed a report, unless it has been replaced in the meantime. */
    void confirm(String bootId, Collection<String> incarnations) {
        if (bootId.equals(leaderBootId)) {
            confirmed.addAll(incarnations);
        }
    }
}
