package org.snipewind.daemon.record;

import java.util.concurrent.atomic.AtomicLong;
import org.snipewind.coordination.clock.MillisClock;

/** The age of the newest contact with the store that this daemon knows of, its own or that of a peer. */
public final class StoreContact {

    private final MillisClock clock;
    private final AtomicLong newestMillis;

    /**
     * Creates a state without any contact.
     *
     * @param clock the clock
     */
    public StoreContact(MillisClock clock) {
        this.clock = clock;
        this.newestMillis = new AtomicLong(clock.nowMillis() - Integer.MAX_VALUE);
    }

    /**
     * Begins a call that may tell of a contact.
     *
     * @return reading of the clock to give with the answer
     */
    public long beginCall() {
        return clock.nowMillis();
    }

    /**
     * Records an answer of the store to this daemon.
     *
     * <p>The contact counts from the begin of the call, because the answer may have waited here while this process was
     * paused.
     *
     * @param begunMillis what {@link #beginCall} gave before the call
     */
    public void recordStoreContact(long begunMillis) {
        recordPeerContact(0, begunMillis);
    }

    /**
     * Records the contact that a peer's answer tells of; it is at least as old as the call.
     *
     * @param ageMillis age of the contact in milliseconds when the peer sent it
     * @param begunMillis what {@link #beginCall} gave before the call that the peer answered
     */
    public void recordPeerContact(long ageMillis, long begunMillis) {
        newestMillis.accumulateAndGet(begunMillis - ageMillis, Math::max);
    }

    /**
     * Gives the age of the newest contact of this daemon or a peer.
     *
     * @return age in milliseconds
     */
    public long ageMillis() {
        return clock.nowMillis() - newestMillis.get();
    }
}
