package org.snipewind.clients.store;

/** Receives one report for each call to the store. */
@FunctionalInterface
public interface StoreCallObserver {

    /** Kind of a call. */
    enum Kind {
        /** A read. */
        GET,
        /** A compare-and-swap. */
        SWAP,
        /** A wait for a newer version. */
        WATCH
    }

    /** Outcome of a call. */
    enum Outcome {
        /** The store answered; a swap was applied, a read or watch found a value. */
        DONE,
        /** The store answered that there is no value, no newer value, or that the versions differ. */
        DECLINED,
        /** No usable answer arrived. */
        FAILED
    }

    /**
     * Reports a call that has ended.
     *
     * @param kind kind of the call
     * @param outcome outcome of the call
     */
    void callEnded(Kind kind, Outcome outcome);
}
