package org.snipewind.standins.store;

import io.micronaut.serde.annotation.Serdeable;
import java.util.Set;

/**
 * Faults of the store.
 *
 * @param mode how calls are treated
 * @param slowMillis delay of each answer
 * @param loseAnswersShare share of the calls that take effect and are not answered, from 0 to 1
 * @param refusedCallers ids of callers whose connections are dropped
 */
@Serdeable
public record StoreFaults(Mode mode, long slowMillis, double loseAnswersShare, Set<String> refusedCallers) {

    /** How calls are treated. */
    public enum Mode {
        /** Calls are answered. */
        NORMAL,
        /** Connections are dropped without effect. */
        REFUSE,
        /** Calls take no effect and get no answer. */
        HANG
    }

    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(Mode.NORMAL, 0, 0, Set.of());

    /** Replaces absent values. */
    public StoreFaults {
        mode = mode == null ? Mode.NORMAL : mode;
        refusedCallers = refusedCallers == null ? Set.of() : Set.copyOf(refusedCallers);
    }
}
