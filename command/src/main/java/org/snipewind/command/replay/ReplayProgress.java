package org.snipewind.command.replay;

/** Follows a replay. */
@FunctionalInterface
public interface ReplayProgress {

    /** Ignores the progress. */
    ReplayProgress NONE = (sent, total) -> {};

    /**
     * Reports that a request was sent.
     *
     * @param sent requests sent so far
     * @param total requests of the trace
     */
    void sent(int sent, int total);
}
