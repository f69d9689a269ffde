package org.snipewind.coordination.error;

import java.util.Locale;

/** Whether a target ran a request. */
public enum Execution {
    /** It is certain that no target ran the request. */
    NOT_RUN,
    /** A target ran the request. */
    RAN,
    /** A target may have run the request. */
    UNKNOWN;

    /**
     * Returns the form used in headers and responses.
     *
     * @return {@code not-run}, {@code ran} or {@code unknown}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
