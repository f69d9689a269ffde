package org.snipewind.coordination.election;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Which instances follow a leader, as their reports to it show; used by one thread.
 *
 * <p>An instance reports to one leader at a time and asks only that one for tokens. A leader that hears nobody issues
 * none, so a successor to which all others report need wait only that long for a former leader that fell silent. An
 * instance that was not listed for want of contact to the store, and is cut off together with the former leader, is not
 * seen by this rule; the end of the former leader's lease bounds what the two can use.
 */
public final class FollowerTracker {

    /** A leader that hears no report for this time issues no tokens; three reports fall into it. */
    public static final long ISOLATED_AFTER_MILLIS = 1_200;

    /** Reports of a round may arrive late, and the former leader looks at its clock only at its next call. */
    private static final long MARGIN_MILLIS = 200;

    private final Set<String> reported = new HashSet<>();
    private long heardMillis;
    private long completeMillis = Long.MAX_VALUE;

    /**
     * Begins a term in which nobody has reported yet.
     *
     * @param nowMillis present time
     */
    public void beginTerm(long nowMillis) {
        reported.clear();
        heardMillis = nowMillis;
        completeMillis = Long.MAX_VALUE;
    }

    /**
     * Takes a report.
     *
     * @param process the process that reported
     * @param nowMillis present time
     */
    public void recordReport(String process, long nowMillis) {
        reported.add(process);
        heardMillis = nowMillis;
    }

    /**
     * Tells whether the leader may be cut off from all others, which may follow another one by now.
     *
     * @param hasOthers tells whether other processes are listed, asked only if none has reported for long
     * @param nowMillis present time
     * @return true if there are others and none has reported for long
     */
    public boolean isIsolated(BooleanSupplier hasOthers, long nowMillis) {
        return nowMillis - heardMillis > ISOLATED_AFTER_MILLIS && hasOthers.getAsBoolean();
    }

    /**
     * Tells whether a former leader that gives no sign can't issue tokens to anybody any more.
     *
     * @param others the other processes that are listed, apart from the former leader
     * @param nowMillis present time
     * @return true once all of them have reported for so long that the former leader knows itself isolated
     */
    public boolean haveLeftFormerLeader(Collection<String> others, long nowMillis) {
        if (!reported.containsAll(others)) {
            completeMillis = Long.MAX_VALUE;
        } else if (completeMillis == Long.MAX_VALUE) {
            completeMillis = nowMillis;
        }
        return completeMillis != Long.MAX_VALUE && nowMillis - completeMillis > ISOLATED_AFTER_MILLIS + MARGIN_MILLIS;
    }
}
