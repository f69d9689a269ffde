package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * Faults of a target.
 *
 * @param silent whether nothing is answered or finished until this is set back, as in a frozen process
 * @param slowFactor factor of the service time of requests that start, 0 for 1
 * @param draining whether the target says that it is leaving
 * @param shedding whether requests are shed
 * @param cut whether answers are cut short
 * @param drop when connections of requests are dropped
 */
@Serdeable
public record TargetFaults(
        boolean silent, double slowFactor, boolean draining, boolean shedding, boolean cut, Drop drop) {

    /** When the connections of requests are dropped. */
    public enum Drop {
        /** Never. */
        NONE,
        /** Before the request runs. */
        BEFORE_RUN,
        /** After the request ran. */
        AFTER_RUN
    }

    /** No faults. */
    public static final TargetFaults NONE = new TargetFaults(false, 1, false, false, false, Drop.NONE);

    /** Replaces absent values. */
    public TargetFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        drop = drop == null ? Drop.NONE : drop;
    }
}
