package org.snipewind.clients.store;

/** Notified of the outcome of each call to the store. */
@FunctionalInterface
public interface StoreCallObserver {

    /** Kind of a call. */
    enum Kind {
        /** A read. */
        GET,
        /** A compare-and-swap. */
        SWAP,
        /** A wait for a newer version of a value. */
        WATCH
    }

    /** Outcome of a call. */
    enum Outcome {
        /** The read or watch returned a value, or the swap was applied. */
        DONE,
        /** The store responded that there is no value or no newer value, or that the stored version differs. */
        DECLINED,
        /** No usable response arrived. */
        FAILED
    }

    /**
     * Called when a call to the store has ended.
     *
     * @param kind kind of the call
     * @param outcome outcome of the call
     */
    void callEnded(Kind kind, Outcome outcome);
}
