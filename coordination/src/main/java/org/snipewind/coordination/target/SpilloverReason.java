package org.snipewind.coordination.target;

import java.util.Locale;

/** Why a request was sent to another data centre. */
public enum SpilloverReason {
    /** No target of the pool is in service in the data centre of the instance, or all of them are paused. */
    NO_LOCAL_TARGET,

    /** No target there has room. */
    LOCAL_FULL,

    /** A target elsewhere was expected to respond in time, and those there were not, or were clearly slower. */
    LOCAL_LATE,

    /** The key of the request is owned by a target in another data centre. */
    OWNER_ELSEWHERE;

    /**
     * Returns the name of the reason in metrics.
     *
     * @return lower-case words joined by hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
