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

/** Removes members whose lease has certainly ended, together with their roles. */
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
    private final Map<String, Long> lastQueries = new ConcurrentHashMap<>();

    /**
     * Creates a monitor.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param witness witness of the leases of others
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration asks for
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

    /** Looks for members that have been silent for longer than a lease. */
    public void check() {
        Map<String, Member> members = records.fleet().members();
        Map<String, Member> holders = members.values().stream()
                .filter(member -> member.leaseGroup().contains(memberId))
                .collect(Collectors.toMap(Member::id, member -> member));
        // A holder that chose another group and comes back sent no heartbeats here in between, so its silence counts
        // from its return.
        witness.retainHolders(holders.keySet());
        for (Member member : holders.values()) {
            witness.track(member.id());
            OptionalLong silence = witness.millisSinceAcknowledgement(member.id());
            if (silence.isPresent() && silence.getAsLong() > FleetTimes.WITNESS_EXPIRY_MILLIS) {
                query(member);
            }
        }
        lastQueries.keySet().retainAll(members.keySet());
    }

    /**
     * Answers another member's question about a lease.
     *
     * @param query the question
     * @return whether the lease has ended as far as this witness is concerned
     */
    public ExpiryAnswer handleExpiryQuery(ExpiryQuery query) {
        return new ExpiryAnswer(memberId, query.holder(), witness.confirmExpired(query.holder()));
    }

    private void query(Member member) {
        long now = clock.nowMillis();
        Long last = lastQueries.get(member.id());
        if (last != null && now - last < QUERY_INTERVAL_MILLIS) {
            return;
        }
        lastQueries.put(member.id(), now);
        LeaseExpiryConfirmations evidence = new LeaseExpiryConfirmations(member.id(), member.leaseGroup());
        if (witness.confirmExpired(member.id())) {
            evidence.addConfirmation(memberId);
        }
        removeIfSufficient(member, evidence);
        for (String id : member.leaseGroup()) {
            if (!id.equals(memberId)) {
                records.fleet().member(id).ifPresent(other -> ask(other, member, evidence));
            }
        }
    }

    private void ask(Member other, Member member, LeaseExpiryConfirmations evidence) {
        peers.call(other.peerAddress(), new ExpiryQuery(member.id()), QUERY_TIMEOUT_MILLIS)
                .thenAccept(answer -> {
                    if (answer instanceof ExpiryAnswer expiry
                            && expiry.expired()
                            && expiry.witness().equals(other.id())) {
                        evidence.addConfirmation(other.id());
                        removeIfSufficient(member, evidence);
                    }
                });
    }

    private void removeIfSufficient(Member member, LeaseExpiryConfirmations evidence) {
        if (!evidence.hasMajority() || records.fleet().member(member.id()).isEmpty() || !removing.add(member.id())) {
            return;
        }
        updater.update(
                        RecordType.FLEET,
                        (current, writer) ->
                                FleetTransitions.remove(current, member.id(), evidence, requirements.all(), writer))
                .whenComplete((written, failure) -> {
                    removing.remove(member.id());
                    if (failure == null && written) {
                        String roles = records.fleet().members().keySet().stream()
                                .collect(Collectors.joining(", ", "left in the fleet: ", ""));
                        log.write(LogEvent.MEMBER_REMOVED, member.id() + "; " + roles);
                    }
                });
    }
}
