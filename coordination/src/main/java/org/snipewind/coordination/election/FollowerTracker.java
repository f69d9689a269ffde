package org.snipewind.coordination.election;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Tracks which instances follow a leader by the reports that it receives from them; used by one thread.
 *
 * <p>An instance reports to one leader at a time and requests tokens only from that one. A leader that receives no
 * reports for {@link #ISOLATED_AFTER_MILLIS} issues no tokens, so a successor to which all other instances report needs
 * to wait only slightly longer than that for an unresponsive former leader. This rule misses an instance that is not
 * registered because it has no contact with the store, and that is partitioned off together with the former leader; the
 * expiry of the former leader's lease limits the tokens that these two can use.
 */
public final class FollowerTracker {

    /** A leader that receives no report for this time issues no tokens; each instance sends three reports in it. */
    public static final long ISOLATED_AFTER_MILLIS = 1_200;

    /** Reports may be delayed, and the former leader checks its clock only at the next request for tokens. */
    private static final long ISOLATION_MARGIN_MILLIS = 200;

    private final Set<String> reportedProcesses = new HashSet<>();
    private long lastReportMillis;
    private long allReportedSinceMillis = Long.MAX_VALUE;

    /**
     * Starts a term in which no instance has reported yet.
     *
     * @param nowMillis present time
     */
    public void beginTerm(long nowMillis) {
        reportedProcesses.clear();
        lastReportMillis = nowMillis;
        allReportedSinceMillis = Long.MAX_VALUE;
    }

    /**
     * Records a report.
     *
     * @param process id of the process that sent the report
     * @param nowMillis present time
     */
    public void recordReport(String process, long nowMillis) {
        reportedProcesses.add(process);
        lastReportMillis = nowMillis;
    }

    /**
     * Returns whether the leader may be partitioned from all other instances, which may follow another leader by now.
     *
     * @param hasOthers returns whether other processes are registered; evaluated only if no report was received for
     *     {@link #ISOLATED_AFTER_MILLIS}
     * @param nowMillis present time
     * @return true if there are other processes and none has reported for that time
     */
    public boolean isIsolated(BooleanSupplier hasOthers, long nowMillis) {
        return nowMillis - lastReportMillis > ISOLATED_AFTER_MILLIS && hasOthers.getAsBoolean();
    }

    /**
     * Returns whether an unresponsive former leader has certainly stopped issuing tokens.
     *
     * @param others the other registered processes except the former leader
     * @param nowMillis present time
     * @return true once all of them have reported to this leader for so long that the former leader considers itself
     *     isolated
     */
    public boolean haveLeftFormerLeader(Collection<String> others, long nowMillis) {
        if (!reportedProcesses.containsAll(others)) {
            allReportedSinceMillis = Long.MAX_VALUE;
        } else if (allReportedSinceMillis == Long.MAX_VALUE) {
            allReportedSinceMillis = nowMillis;
        }
        return allReportedSinceMillis != Long.MAX_VALUE
                && nowMillis - allReportedSinceMillis > ISOLATED_AFTER_MILLIS + ISOLATION_MARGIN_MILLIS;
    }
}
