package org.snipewind.standins.store;

import io.micronaut.serde.annotation.Serdeable;
import java.util.Set;

/**
 * Faults that the stand-in for the store simulates.
 *
 * @param mode how calls are handled
 * @param slowMillis delay of each response
 * @param loseAnswersShare fraction of the calls, from 0 to 1, that take effect but get no response
 * @param refusedCallers ids of callers whose connections are closed without a response
 */
@Serdeable
public record StoreFaults(Mode mode, long slowMillis, double loseAnswersShare, Set<String> refusedCallers) {

    /** How calls are handled. */
    public enum Mode {
        /** Calls take effect and get a response. */
        NORMAL,
        /** Calls have no effect, and their connections are closed. */
        REFUSE,
        /** Calls have no effect and get no response. */
        HANG
    }

    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(Mode.NORMAL, 0, 0, Set.of());

    /** Replaces absent values by their defaults. */
    public StoreFaults {
        mode = mode == null ? Mode.NORMAL : mode;
        refusedCallers = refusedCallers == null ? Set.of() : Set.copyOf(refusedCallers);
    }
}
