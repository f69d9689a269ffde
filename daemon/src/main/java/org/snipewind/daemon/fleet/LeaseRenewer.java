package org.snipewind.daemon.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.lease.LeaseWitness;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordDistributor;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.daemon.record.StoreContact;
import org.snipewind.protocol.Heartbeat;
import org.snipewind.protocol.HeartbeatAcknowledgement;
import org.snipewind.protocol.PeerConnections;

/** Renews this daemon's lease with its lease group, and acknowledges the leases of others. */
public final class LeaseRenewer {

    private final String memberId;
    private final MemberLease lease;
    private final LeaseWitness witness;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RecordDistributor distributor;
    private final PeerConnections peers;
    private final StoreContact contact;
    private final EventLog log;
    private volatile Optional<PendingGroup> pending = Optional.empty();
    private final AtomicBoolean regrouping = new AtomicBoolean();
    private volatile boolean wasValid;

    private record PendingGroup(List<String> members, long baseEpoch) {}

    /**
     * Creates a keeper.
     *
     * @param memberId id of this daemon
     * @param lease lease of this daemon
     * @param witness witness of the leases of others
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param distributor fetches newer records
     * @param peers connections to peers
     * @param contact newest contact with the store
     * @param log the event log
     */
    public LeaseRenewer(
            String memberId,
            MemberLease lease,
            LeaseWitness witness,
            RecordCache records,
            RecordUpdater updater,
            RecordDistributor distributor,
            PeerConnections peers,
            StoreContact contact,
            EventLog log) {
        this.memberId = memberId;
        this.lease = lease;
        this.witness = witness;
        this.records = records;
        this.updater = updater;
        this.distributor = distributor;
        this.peers = peers;
        this.contact = contact;
        this.log = log;
    }

    /** Sends one heartbeat to each witness of this daemon. */
    public void sendHeartbeats() {
        Optional<Member> self = records.fleet().member(memberId);
        if (self.isEmpty()) {
            return;
        }
        applyGroups(self.get());
        long sequence = lease.nextHeartbeatSequence();
        Heartbeat heartbeat = new Heartbeat(sequence, records.versions(), contact.ageMillis());
        for (String id : witnesses(self.get())) {
            records.fleet().member(id).ifPresent(member -> send(member, heartbeat));
        }
        reportChange();
    }

    /** Chooses a new lease group if the present one has lost members or could be larger. */
    public void updateLeaseGroup() {
        if (regrouping.get()
                || pending.isPresent()
                || records.fleet().member(memberId).isEmpty()) {
            return;
        }
        if (FleetTransitions.reselectLeaseGroup(records.fleet(), memberId, "").isEmpty()) {
            return;
        }
        if (regrouping.compareAndSet(false, true)) {
            updater.update(RecordType.FLEET, this::regroupTransition)
                    .whenComplete((written, failure) -> regrouping.set(false));
        }
    }

    /**
     * Answers a heartbeat of another member.
     *
     * @param sender id of the member
     * @param heartbeat the heartbeat
     * @return the acknowledgement
     */
    public HeartbeatAcknowledgement handleHeartbeat(String sender, Heartbeat heartbeat) {
        // The contact that a heartbeat tells of is not used: it may have waited here while this process was paused, and
        // its age would then be far too low. An acknowledgement bounds that time by its call.
        FleetRecord fleet = records.fleet();
        Optional<Member> member = fleet.member(sender);
        member.ifPresent(known -> distributor.fetchNewer(known.peerAddress(), heartbeat.versions()));
        long senderEpoch = heartbeat.versions().byName().getOrDefault(RecordType.FLEET.name(), 0L);
        boolean removed = member.isEmpty() && fleet.epoch() >= senderEpoch;
        if (member.isPresent()) {
            // The sender may have chosen this witness in a write that is not known here yet, or not known to anyone
            // while the store is down.
            witness.track(sender);
        }
        boolean accepted = !removed && witness.acknowledge(sender);
        return new HeartbeatAcknowledgement(
                memberId, heartbeat.sequence(), accepted, records.versions(), contact.ageMillis());
    }

    private Optional<FleetRecord> regroupTransition(FleetRecord current, String writer) {
        Optional<FleetRecord> next = FleetTransitions.reselectLeaseGroup(current, memberId, writer);
        next.flatMap(record -> record.member(memberId)).ifPresent(member -> {
            // Both groups must acknowledge from before the write until its effect is known.
            pending = Optional.of(new PendingGroup(member.leaseGroup(), current.epoch()));
            lease.setGroups(current.member(memberId).orElseThrow().leaseGroup(), Optional.of(member.leaseGroup()));
        });
        return next;
    }

    private void applyGroups(Member self) {
        // Once the record has moved past the epoch on which the write was based, the write either took effect or
        // can't take effect any more.
        if (pending.isPresent() && records.fleet().epoch() > pending.get().baseEpoch()) {
            pending = Optional.empty();
        }
        lease.setGroups(self.leaseGroup(), pending.map(PendingGroup::members));
    }

    private Set<String> witnesses(Member self) {
        Set<String> ids = new LinkedHashSet<>(self.leaseGroup());
        pending.ifPresent(group -> ids.addAll(new ArrayList<>(group.members())));
        return ids;
    }

    private void send(Member member, Heartbeat heartbeat) {
        long begun = contact.beginCall();
        peers.call(member.peerAddress(), heartbeat, FleetTimes.LEASE_LIFETIME_MILLIS)
                .thenAccept(answer -> {
                    if (answer instanceof HeartbeatAcknowledgement acknowledgement) {
                        // A successor at the same address has not kept the promises of the witness.
                        if (acknowledgement.accepted()
                                && acknowledgement.witness().equals(member.id())) {
                            lease.onAcknowledgement(member.id(), acknowledgement.sequence());
                        }
                        contact.recordPeerContact(acknowledgement.storeContactAgeMillis(), begun);
                        distributor.fetchNewer(member.peerAddress(), acknowledgement.versions());
                    }
                });
    }

    private void reportChange() {
        boolean valid = lease.isValid();
        if (valid != wasValid) {
            wasValid = valid;
            log.write(valid ? LogEvent.LEASE_REGAINED : LogEvent.LEASE_LOST, "member " + memberId);
        }
    }
}
