package org.snipewind.command.replay;

/** Outcome of a request as far as its caller can tell. */
public enum OutcomeKind {
    /** The complete response of a target arrived. */
    ANSWERED,
    /** The router reported that the request did not run, or the request was not sent. */
    NOT_RUN,
    /** The router reported that the request ran, but the caller has no response of the target. */
    RAN,
    /** It is not known whether the request ran. */
    UNKNOWN
}
