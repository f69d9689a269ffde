package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * Faults that a stand-in for a target simulates.
 *
 * @param silent whether the target neither responds nor finishes requests until this is reset, like a paused process
 * @param slowFactor factor for the service time of requests that start from now on; 0 is replaced by 1
 * @param draining whether the target reports that it is draining
 * @param shedding whether the target sheds new requests, that is, rejects them without running them
 * @param cut whether responses are truncated
 * @param drop when the connections of requests are closed without a response
 */
@Serdeable
public record TargetFaults(
        boolean silent, double slowFactor, boolean draining, boolean shedding, boolean cut, Drop drop) {

    /** When the connections of requests are closed without a response. */
    public enum Drop {
        /** Never. */
        NONE,
        /** Before the request runs; it does not run. */
        BEFORE_RUN,
        /** After the request has run. */
        AFTER_RUN
    }

    /** No faults. */
    public static final TargetFaults NONE = new TargetFaults(false, 1, false, false, false, Drop.NONE);

    /** Replaces absent values by their defaults. */
    public TargetFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        drop = drop == null ? Drop.NONE : drop;
    }
}
