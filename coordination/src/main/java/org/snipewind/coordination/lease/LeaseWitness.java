package org.snipewind.coordination.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;

/** The granting side of member leases: acknowledges heartbeats and confirms the end of leases. */
public final class LeaseWitness {

    private final MillisClock clock;
    private final long silenceMillis;
    private final Map<String, Long> heardAt = new HashMap<>();
    // Kept for the life of the process, a few ids a day: evidence that counts a confirmation may be used at any time,
    // even after the holder has left this witness's groups and come back.
    private final Set<String> confirmed = new HashSet<>();

    /**
     * Creates a witness that knows no holders.
     *
     * @param clock the witness's clock
     * @param silenceMillis time without an acknowledgement after which a lease has certainly ended
     */
    public LeaseWitness(MillisClock clock, long silenceMillis) {
        this.clock = clock;
        this.silenceMillis = silenceMillis;
    }

    /**
     * Starts to witness a holder; the silence of a new holder counts from now.
     *
     * @param holder id of a member of the fleet record
     */
    public synchronized void track(String holder) {
        heardAt.putIfAbsent(holder, clock.nowMillis());
    }

    /**
     * Acknowledges a heartbeat that has just arrived.
     *
     * @param holder id of the sender
     * @return false if the holder is not known or its expiry was confirmed; no acknowledgement may be sent then
     */
    public synchronized boolean acknowledge(String holder) {
        if (confirmed.contains(holder) || !heardAt.containsKey(holder)) {
            return false;
        }
        heardAt.put(holder, clock.nowMillis());
        return true;
    }

    /**
     * Confirms the end of a lease if the holder has been silent for long enough, and never acknowledges it again then.
     *
     * @param holder id of the holder
     * @return true if this witness confirms
     */
    public synchronized boolean confirmExpired(String holder) {
        if (confirmed.contains(holder)) {
            return true;
        }
        Long heard = heardAt.get(holder);
        if (heard == null || clock.nowMillis() - heard < silenceMillis) {
            return false;
        }
        confirmed.add(holder);
        return true;
    }

    /**
     * Tells how long a holder has been silent.
     *
     * @param holder id of the holder
     * @return milliseconds since the last acknowledgement, or empty if the holder is not known
     */
    public synchronized OptionalLong millisSinceAcknowledgement(String holder) {
        Long heard = heardAt.get(holder);
        return heard == null ? OptionalLong.empty() : OptionalLong.of(clock.nowMillis() - heard);
    }

    /**
     * Forgets all other holders, but not which of them were confirmed as expired.
     *
     * @param holders ids of the holders to keep
     */
    public synchronized void retainHolders(Set<String> holders) {
        heardAt.keySet().retainAll(holders);
    }
}
