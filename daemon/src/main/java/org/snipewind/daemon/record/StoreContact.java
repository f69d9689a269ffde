package org.snipewind.daemon.record;

import java.util.concurrent.atomic.AtomicLong;
import org.snipewind.coordination.clock.MillisClock;

/** The age of the newest contact with the store that this daemon knows of, its own or that of a peer. */
public final class StoreContact {

    private final MillisClock clock;
    private final AtomicLong ownMillis;
    private final AtomicLong newestMillis;

    /**
     * Creates a state without any contact.
     *
     * @param clock the clock
     */
    public StoreContact(MillisClock clock) {
        this.clock = clock;
        long never = clock.nowMillis() - Integer.MAX_VALUE;
        this.ownMillis = new AtomicLong(never);
        this.newestMillis = new AtomicLong(never);
    }

    /** Records an answer of the store to this daemon. */
    public void contacted() {
        long now = clock.nowMillis();
        ownMillis.accumulateAndGet(now, Math::max);
        newestMillis.accumulateAndGet(now, Math::max);
    }

    /**
     * Records the contact that a peer knows of.
     *
     * @param ageMillis age of the contact in milliseconds when the peer sent it
     */
    public void heard(long ageMillis) {
        newestMillis.accumulateAndGet(clock.nowMillis() - ageMillis, Math::max);
    }

    /**
     * Gives the age of the newest contact of this daemon or a peer.
     *
     * @return age in milliseconds
     */
    public long ageMillis() {
        return clock.nowMillis() - newestMillis.get();
    }

    /**
     * Gives the age of this daemon's own newest contact.
     *
     * @return age in milliseconds
     */
    public long ownAgeMillis() {
        return clock.nowMillis() - ownMillis.get();
    }
}
