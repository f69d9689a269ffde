package org.snipewind.router.lead;

import java.util.Optional;
import org.snipewind.router.state.MemberRecord;

/** Listener for the start of a term of this instance as the leader. */
@FunctionalInterface
public interface TermListener {

    /**
     * Called when a term of this instance starts.
     *
     * @param formerLeaderUntilMillis time until which the former leader may still act
     * @param formerLeader the former leader, if it may not know that its term has ended
     */
    void onTermStart(long formerLeaderUntilMillis, Optional<MemberRecord> formerLeader);
}
