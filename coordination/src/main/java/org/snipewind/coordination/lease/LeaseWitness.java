package org.snipewind.coordination.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;

/** The granting side of member leases: acknowledges heartbeats and confirms that leases have expired. */
public final class LeaseWitness {

    private final MillisClock clock;
    private final long expiryMillis;
    private final Map<String, Long> acknowledgedAtMillis = new HashMap<>();
    // Kept for the lifetime of the process; it grows by a few ids per day. A confirmation may still be counted towards
    // a majority at any later time, even after the holder has left this witness's groups and rejoined.
    private final Set<String> confirmedExpired = new HashSet<>();

    /**
     * Creates a witness that tracks no holders.
     *
     * @param clock the witness's clock
     * @param expiryMillis time without an acknowledgement after which a lease has expired for certain
     */
    public LeaseWitness(MillisClock clock, long expiryMillis) {
        this.clock = clock;
        this.expiryMillis = expiryMillis;
    }

    /**
     * Starts tracking a holder. The time without an acknowledgement starts now for a holder that is not tracked yet.
     *
     * @param holder id of a member of the fleet record
     */
    public synchronized void track(String holder) {
        acknowledgedAtMillis.putIfAbsent(holder, clock.nowMillis());
    }

    /**
     * Acknowledges a heartbeat that has just arrived.
     *
     * @param holder id of the sender
     * @return false if the holder is not tracked or its expiry was confirmed; no acknowledgement may be sent then
     */
    public synchronized boolean acknowledge(String holder) {
        if (confirmedExpired.contains(holder) || !acknowledgedAtMillis.containsKey(holder)) {
            return false;
        }
        acknowledgedAtMillis.put(holder, clock.nowMillis());
        return true;
    }

    /**
     * Confirms that a lease has expired if the holder was not acknowledged for long enough. Once this witness has
     * confirmed, it never acknowledges the holder again.
     *
     * @param holder id of the holder
     * @return true if this witness confirms the expiry, now or already before
     */
    public synchronized boolean confirmExpired(String holder) {
        if (confirmedExpired.contains(holder)) {
            return true;
        }
        Long acknowledgedAt = acknowledgedAtMillis.get(holder);
        if (acknowledgedAt == null || clock.nowMillis() - acknowledgedAt < expiryMillis) {
            return false;
        }
        confirmedExpired.add(holder);
        return true;
    }

    /**
     * Returns the time since a holder was last acknowledged or tracking started.
     *
     * @param holder id of the holder
     * @return milliseconds, or empty if the holder is not tracked
     */
    public synchronized OptionalLong millisSinceAcknowledgement(String holder) {
        Long acknowledgedAt = acknowledgedAtMillis.get(holder);
        return acknowledgedAt == null ? OptionalLong.empty() : OptionalLong.of(clock.nowMillis() - acknowledgedAt);
    }

    /**
     * Stops tracking all other holders, but remembers which of them were confirmed as expired.
     *
     * @param holders ids of the holders to keep
     */
    public synchronized void retainHolders(Set<String> holders) {
        acknowledgedAtMillis.keySet().retainAll(holders);
    }
}
