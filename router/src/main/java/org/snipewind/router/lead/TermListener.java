package org.snipewind.router.lead;

import java.util.Optional;
import org.snipewind.router.state.MemberRecord;

/** Is told that this instance begins to lead. */
@FunctionalInterface
public interface TermListener {

    /**
     * Begins a term.
     *
     * @param formerUntilMillis time until which a former leader may act
     * @param deposed the former leader, if it may not know that its term has ended
     */
    void onTermStart(long formerUntilMillis, Optional<MemberRecord> deposed);
}
