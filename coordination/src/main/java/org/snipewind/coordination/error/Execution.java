package org.snipewind.coordination.error;

import java.util.Locale;

/** Whether a request was run by a target. */
public enum Execution {
    /** It is certain that no target ran the request. */
    NOT_RUN,
    /** A target ran the request. */
    RAN,
    /** A target may have run the request. */
    UNKNOWN;

    /**
     * Gives the form used in headers and answers.
     *
     * @return {@code not-run}, {@code ran} or {@code unknown}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
