package org.snipewind.daemon.fleet;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.lease.LeaseExpiryConfirmations;
import org.snipewind.coordination.lease.LeaseWitness;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.protocol.ExpiryAnswer;
import org.snipewind.protocol.ExpiryQuery;
import org.snipewind.protocol.PeerConnections;

/** Removes members whose lease a majority of its witnesses confirms as expired, and places their roles with others. */
public final class FailureMonitor {

    private static final long QUERY_INTERVAL_MILLIS = 150;
    private static final long QUERY_TIMEOUT_MILLIS = 300;

    private final String memberId;
    private final MillisClock clock;
    private final LeaseWitness witness;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RoleRequirements requirements;
    private final PeerConnections peers;
    private final EventLog log;
    private final Set<String> removing = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> lastQueryMillis = new ConcurrentHashMap<>();

    /**
     * Creates a monitor.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param witness witness of other members' leases
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration requires
     * @param peers connections to peers
     * @param log the event log
     */
    public FailureMonitor(
            String memberId,
            MillisClock clock,
            LeaseWitness witness,
            RecordCache records,
            RecordUpdater updater,
            RoleRequirements requirements,
            PeerConnections peers,
            EventLog log) {
        this.memberId = memberId;
        this.clock = clock;
        this.witness = witness;
        this.records = records;
        this.updater = updater;
        this.requirements = requirements;
        this.peers = peers;
        this.log = log;
    }

    /** Queries the witnesses of each member from which no heartbeat has arrived here for longer than its lease. */
    public void check() {
        Map<String, Member> members = records.fleet().members();
        Map<String, Member> holders = members.values().stream()
                .filter(member -> member.leaseGroup().contains(memberId))
                .collect(Collectors.toMap(Member::id, member -> member));
        // A holder that selected another lease group sent no heartbeats here meanwhile. Forgetting it makes the time
        // without heartbeats start again when this daemon becomes its witness again.
        witness.retainHolders(holders.keySet());
        for (Member member : holders.values()) {
            witness.track(member.id());
            OptionalLong sinceAcknowledgementMillis = witness.millisSinceAcknowledgement(member.id());
            if (sinceAcknowledgementMillis.isPresent()
                    && sinceAcknowledgementMillis.getAsLong() > FleetTimes.WITNESS_EXPIRY_MILLIS) {
                queryWitnesses(member);
            }
        }
        lastQueryMillis.keySet().retainAll(members.keySet());
    }

    /**
     * Handles another member's query about the expiry of a lease.
     *
     * @param query the query
     * @return whether this witness confirms that the lease has expired
     */
    public ExpiryAnswer handleExpiryQuery(ExpiryQuery query) {
        return new ExpiryAnswer(memberId, query.holder(), witness.confirmExpired(query.holder()));
    }

    private void queryWitnesses(Member member) {
        long now = clock.nowMillis();
        Long last = lastQueryMillis.get(member.id());
        if (last != null && now - last < QUERY_INTERVAL_MILLIS) {
            return;
        }
        lastQueryMillis.put(member.id(), now);
        LeaseExpiryConfirmations confirmations = new LeaseExpiryConfirmations(member.id(), member.leaseGroup());
        if (witness.confirmExpired(member.id())) {
            confirmations.addConfirmation(memberId);
        }
        removeIfConfirmed(member, confirmations);
        for (String id : member.leaseGroup()) {
            if (!id.equals(memberId)) {
                records.fleet().member(id).ifPresent(other -> queryWitness(other, member, confirmations));
            }
        }
    }

    private void queryWitness(Member other, Member member, LeaseExpiryConfirmations confirmations) {
        peers.call(other.peerAddress(), new ExpiryQuery(member.id()), QUERY_TIMEOUT_MILLIS)
                .thenAccept(response -> {
                    if (response instanceof ExpiryAnswer expiry
                            && expiry.expired()
                            && expiry.witness().equals(other.id())) {
                        confirmations.addConfirmation(other.id());
                        removeIfConfirmed(member, confirmations);
                    }
                });
    }

    private void removeIfConfirmed(Member member, LeaseExpiryConfirmations confirmations) {
        if (!confirmations.hasMajority()
                || records.fleet().member(member.id()).isEmpty()
                || !removing.add(member.id())) {
            return;
        }
        updater.update(
                        RecordType.FLEET,
                        (current, writer) -> FleetTransitions.remove(
                                current, member.id(), confirmations, requirements.all(), writer))
                .whenComplete((written, failure) -> {
                    removing.remove(member.id());
                    if (failure == null && written) {
                        String remaining = records.fleet().members().keySet().stream()
                                .collect(Collectors.joining(", ", "remaining members: ", ""));
                        log.write(LogEvent.MEMBER_REMOVED, member.id() + "; " + remaining);
                    }
                });
    }
}
