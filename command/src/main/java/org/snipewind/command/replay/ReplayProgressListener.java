package org.snipewind.command.replay;

/** Is notified of the progress of a replay. */
@FunctionalInterface
public interface ReplayProgressListener {

    /** A listener that does nothing. */
    ReplayProgressListener NONE = (sent, total) -> {};

    /**
     * Called after each request that was sent.
     *
     * @param sent number of requests sent so far
     * @param total number of requests of the trace
     */
    void requestSent(int sent, int total);
}
