package org.snipewind.coordination.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.snipewind.coordination.clock.MillisClock;

/** The holder's side of its member lease. */
public final class MemberLease {

    // At a heartbeat every 200 ms this spans several leases; an acknowledgement of an older one extends nothing.
    private static final int REMEMBERED_SEQUENCES = 64;
    private static final long NEVER = Long.MIN_VALUE;

    private final MillisClock clock;
    private final long leaseMillis;
    private final LinkedHashMap<Long, Long> sentAt = new LinkedHashMap<>();
    private final Map<String, Contact> contacts = new HashMap<>();
    private List<List<String>> groups = List.of();
    private long sequence;
    private volatile long validUntil = NEVER;

    /** The newest acknowledged send time and the time of the newest acknowledgement of one witness. */
    private record Contact(long sentAt, long heardAt) {}

    /**
     * Creates a lease that is not valid until its groups are set.
     *
     * @param clock the holder's clock
     * @param leaseMillis length of the lease after the send time of an acknowledged heartbeat
     */
    public MemberLease(MillisClock clock, long leaseMillis) {
        this.clock = clock;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Sets the groups that have to acknowledge; this comes before the write of a pending group is sent.
     *
     * @param current lease group that is known to be stored
     * @param pending lease group of a write whose effect is not known yet
     */
    public synchronized void setGroups(List<String> current, Optional<List<String>> pending) {
        groups = pending.map(group -> List.of(distinct(current), distinct(group)))
                .orElseGet(() -> List.of(distinct(current)));
        contacts.keySet().removeIf(witness -> groups.stream().noneMatch(group -> group.contains(witness)));
        update();
    }

    /**
     * Numbers the next heartbeat and records that it is sent now.
     *
     * @return the sequence number, to be acknowledged by each witness
     */
    public synchronized long nextHeartbeatSequence() {
        sequence++;
        sentAt.put(sequence, clock.nowMillis());
        if (sentAt.size() > REMEMBERED_SEQUENCES) {
            sentAt.remove(sequence - REMEMBERED_SEQUENCES);
        }
        return sequence;
    }

    /**
     * Records that a witness acknowledged a heartbeat.
     *
     * @param witness id of the witness; it is ignored outside the groups
     * @param acknowledged sequence number of the heartbeat
     */
    public synchronized void onAcknowledgement(String witness, long acknowledged) {
        if (groups.stream().noneMatch(group -> group.contains(witness))) {
            return;
        }
        long sent = sentAt.getOrDefault(acknowledged, NEVER);
        Contact previous = contacts.getOrDefault(witness, new Contact(NEVER, NEVER));
        contacts.put(witness, new Contact(Math.max(previous.sentAt, sent), clock.nowMillis()));
        update();
    }

    /**
     * Tells whether the holder may act in its roles at this moment.
     *
     * @return true while a majority of each group has acknowledged recently enough
     */
    public boolean isValid() {
        return clock.nowMillis() < validUntil;
    }

    /**
     * Gives the end of the lease.
     *
     * @return a reading of the holder's clock; {@link Long#MAX_VALUE} for an empty group
     */
    public long validUntilMillis() {
        return validUntil;
    }

    /**
     * Tells whether a majority of each group has answered lately, whatever the age of the answered heartbeat.
     *
     * @param withinMillis the longest time since the answers
     * @return true if a majority has answered within the time, or the group is empty
     */
    public synchronized boolean hasRecentMajorityContact(long withinMillis) {
        long since = clock.nowMillis() - withinMillis;
        return !groups.isEmpty()
                && groups.stream().allMatch(group -> reachedByMajority(group, Contact::heardAt) >= since);
    }

    private void update() {
        validUntil = groups.stream()
                .map(group -> reachedByMajority(group, Contact::sentAt))
                .map(sent -> sent == NEVER || sent == Long.MAX_VALUE ? sent : sent + leaseMillis)
                .min(Comparator.naturalOrder())
                .orElse(NEVER);
    }

    /** Finds the newest time that a majority of the group has reached. */
    private long reachedByMajority(List<String> group, Function<Contact, Long> time) {
        if (group.isEmpty()) {
            return Long.MAX_VALUE;
        }
        List<Long> times = group.stream()
                .map(witness -> contacts.containsKey(witness) ? time.apply(contacts.get(witness)) : (Long) NEVER)
                .sorted(Comparator.reverseOrder())
                .toList();
        return times.get(group.size() / 2);
    }

    private static List<String> distinct(List<String> group) {
        return group.stream().distinct().toList();
    }
}
