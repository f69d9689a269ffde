package org.snipewind.command.replay;

/** Follows a replay. */
@FunctionalInterface
public interface ReplayProgressListener {

    /** Ignores the progress. */
    ReplayProgressListener NONE = (sent, total) -> {};

    /**
     * Reports that a request was sent.
     *
     * @param sent requests sent so far
     * @param total requests of the trace
     */
    void requestSent(int sent, int total);
}
