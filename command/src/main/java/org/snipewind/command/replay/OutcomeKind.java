package org.snipewind.command.replay;

/** What a caller knows about a request at its end. */
public enum OutcomeKind {
    /** The whole answer of a target arrived. */
    ANSWERED,
    /** The caller was told that the request did not run, or nothing was sent. */
    NOT_RUN,
    /** The caller was told that the request ran, and has no answer. */
    RAN,
    /** The caller can't tell whether the request ran. */
    UNKNOWN
}
