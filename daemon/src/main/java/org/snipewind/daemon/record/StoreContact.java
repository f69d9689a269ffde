package org.snipewind.daemon.record;

import java.util.concurrent.atomic.AtomicLong;
import org.snipewind.coordination.clock.MillisClock;

/** Tracks the age of the most recent contact with the store, by this daemon or by a peer that reported it. */
public final class StoreContact {

    private final MillisClock clock;
    private final AtomicLong newestMillis;

    /**
     * Creates a tracker without any contact.
     *
     * @param clock the clock
     */
    public StoreContact(MillisClock clock) {
        this.clock = clock;
        this.newestMillis = new AtomicLong(clock.nowMillis() - Integer.MAX_VALUE);
    }

    /**
     * Begins a call to the store, or to a peer whose response reports a contact.
     *
     * @return start time of the call, to be passed on with its response
     */
    public long beginCall() {
        return clock.nowMillis();
    }

    /**
     * Records a response of the store to this daemon.
     *
     * <p>The contact counts from the start of the call, because the response may have been buffered while this process
     * was paused.
     *
     * @param callStartMillis the value that {@link #beginCall} returned before the call
     */
    public void recordStoreContact(long callStartMillis) {
        recordPeerContact(0, callStartMillis);
    }

    /**
     * Records the contact that a peer reports in a response; its age counts from the start of the call.
     *
     * @param ageMillis age of the contact in milliseconds when the peer sent it
     * @param callStartMillis the value that {@link #beginCall} returned before the call to the peer
     */
    public void recordPeerContact(long ageMillis, long callStartMillis) {
        newestMillis.accumulateAndGet(callStartMillis - ageMillis, Math::max);
    }

    /**
     * Returns the age of the most recent contact of this daemon or a peer.
     *
     * @return age in milliseconds
     */
    public long ageMillis() {
        return clock.nowMillis() - newestMillis.get();
    }
}
