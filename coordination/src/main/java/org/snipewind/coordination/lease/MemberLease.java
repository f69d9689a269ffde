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

    // With a heartbeat every 200 ms this spans several leases; the acknowledgement of an older heartbeat has no effect.
    private static final int MAX_TRACKED_HEARTBEATS = 64;
    private static final long NEVER = Long.MIN_VALUE;

    private final MillisClock clock;
    private final long leaseMillis;
    private final LinkedHashMap<Long, Long> sentAtMillisBySequence = new LinkedHashMap<>();
    private final Map<String, Contact> contacts = new HashMap<>();
    private List<List<String>> groups = List.of();
    private long sequence;
    private volatile long validUntilMillis = NEVER;

    /**
     * The contact with one witness.
     *
     * @param sentAtMillis time at which the newest acknowledged heartbeat was sent
     * @param receivedAtMillis time at which the newest acknowledgement arrived
     */
    private record Contact(long sentAtMillis, long receivedAtMillis) {}

    /**
     * Creates a lease that is not valid until its groups are set.
     *
     * @param clock the holder's clock
     * @param leaseMillis duration of the lease, counted from the time at which an acknowledged heartbeat was sent
     */
    public MemberLease(MillisClock clock, long leaseMillis) {
        this.clock = clock;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Sets the groups whose acknowledgements the lease needs. A pending group has to be set before its write is sent.
     *
     * @param current lease group that is known to be stored
     * @param pending lease group of a write whose outcome is not known yet
     */
    public synchronized void setGroups(List<String> current, Optional<List<String>> pending) {
        groups = pending.map(group -> List.of(distinct(current), distinct(group)))
                .orElseGet(() -> List.of(distinct(current)));
        contacts.keySet().removeIf(witness -> groups.stream().noneMatch(group -> group.contains(witness)));
        updateValidUntil();
    }

    /**
     * Returns the sequence number of the next heartbeat and records that it is sent now.
     *
     * @return the sequence number, to be acknowledged by each witness
     */
    public synchronized long nextHeartbeatSequence() {
        sequence++;
        sentAtMillisBySequence.put(sequence, clock.nowMillis());
        if (sentAtMillisBySequence.size() > MAX_TRACKED_HEARTBEATS) {
            sentAtMillisBySequence.remove(sequence - MAX_TRACKED_HEARTBEATS);
        }
        return sequence;
    }

    /**
     * Records that a witness acknowledged a heartbeat.
     *
     * @param witness id of the witness; a witness outside the groups is ignored
     * @param acknowledgedSequence sequence number of the heartbeat
     */
    public synchronized void onAcknowledgement(String witness, long acknowledgedSequence) {
        if (groups.stream().noneMatch(group -> group.contains(witness))) {
            return;
        }
        long sentAt = sentAtMillisBySequence.getOrDefault(acknowledgedSequence, NEVER);
        Contact previous = contacts.getOrDefault(witness, new Contact(NEVER, NEVER));
        contacts.put(witness, new Contact(Math.max(previous.sentAtMillis, sentAt), clock.nowMillis()));
        updateValidUntil();
    }

    /**
     * Returns whether the holder may act in its roles now.
     *
     * @return true while a majority of each group has acknowledged recently enough
     */
    public boolean isValid() {
        return clock.nowMillis() < validUntilMillis;
    }

    /**
     * Returns the end of the lease.
     *
     * @return a reading of the holder's clock; {@link Long#MAX_VALUE} for an empty group
     */
    public long validUntilMillis() {
        return validUntilMillis;
    }

    /**
     * Returns whether a majority of each group has acknowledged a heartbeat recently, however old that heartbeat was.
     *
     * @param withinMillis maximum time since the acknowledgements
     * @return true if each group is empty or a majority of it has acknowledged within the time
     */
    public synchronized boolean hasRecentMajorityContact(long withinMillis) {
        long earliest = clock.nowMillis() - withinMillis;
        return !groups.isEmpty()
                && groups.stream()
                        .allMatch(group -> newestTimeOfMajority(group, Contact::receivedAtMillis) >= earliest);
    }

    private void updateValidUntil() {
        validUntilMillis = groups.stream()
                .map(group -> newestTimeOfMajority(group, Contact::sentAtMillis))
                .map(sentAt -> sentAt == NEVER || sentAt == Long.MAX_VALUE ? sentAt : sentAt + leaseMillis)
                .min(Comparator.naturalOrder())
                .orElse(NEVER);
    }

    /** Returns the newest time that a majority of the group has reached or passed. */
    private long newestTimeOfMajority(List<String> group, Function<Contact, Long> time) {
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
