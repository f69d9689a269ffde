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

/** Renews this daemon's lease by heartbeats to its lease group, and acknowledges the heartbeats of other members. */
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
    private volatile Optional<PendingGroup> pendingGroup = Optional.empty();
    private final AtomicBoolean updatingLeaseGroup = new AtomicBoolean();
    private volatile boolean wasValid;

    private record PendingGroup(List<String> members, long baseEpoch) {}

    /**
     * Creates a renewer.
     *
     * @param memberId id of this daemon
     * @param lease lease of this daemon
     * @param witness witness of other members' leases
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param distributor fetches newer records
     * @param peers connections to peers
     * @param contact most recent contact with the store
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

    /** Sends one heartbeat to each witness of this daemon's lease. */
    public void sendHeartbeats() {
        Optional<Member> self = records.fleet().member(memberId);
        if (self.isEmpty()) {
            return;
        }
        applyLeaseGroups(self.get());
        long sequence = lease.nextHeartbeatSequence();
        Heartbeat heartbeat = new Heartbeat(sequence, records.versions(), contact.ageMillis());
        for (String id : witnesses(self.get())) {
            records.fleet().member(id).ifPresent(member -> send(member, heartbeat));
        }
        logValidityChange();
    }

    /** Selects a new lease group if the current one holds former members, could be larger or could be better spread. */
    public void updateLeaseGroup() {
        if (updatingLeaseGroup.get()
                || pendingGroup.isPresent()
                || records.fleet().member(memberId).isEmpty()) {
            return;
        }
        if (FleetTransitions.reselectLeaseGroup(records.fleet(), memberId, "").isEmpty()) {
            return;
        }
        if (updatingLeaseGroup.compareAndSet(false, true)) {
            updater.update(RecordType.FLEET, this::reselectLeaseGroup)
                    .whenComplete((written, failure) -> updatingLeaseGroup.set(false));
        }
    }

    /**
     * Handles a heartbeat of another member.
     *
     * @param sender id of the member
     * @param heartbeat the heartbeat
     * @return the acknowledgement
     */
    public HeartbeatAcknowledgement handleHeartbeat(String sender, Heartbeat heartbeat) {
        // The store contact that a heartbeat reports is not used: the heartbeat may have been buffered while this
        // process was paused, so the age in it may be far too low. For an acknowledgement, the start of the call bounds
        // that delay.
        FleetRecord fleet = records.fleet();
        Optional<Member> member = fleet.member(sender);
        member.ifPresent(known -> distributor.fetchNewer(known.peerAddress(), heartbeat.versions()));
        long senderEpoch = heartbeat.versions().byName().getOrDefault(RecordType.FLEET.name(), 0L);
        boolean removed = member.isEmpty() && fleet.epoch() >= senderEpoch;
        if (member.isPresent()) {
            // The sender may have selected this witness in a write that has not reached this daemon yet, or that is
            // not known to any daemon while the store is down.
            witness.track(sender);
        }
        boolean accepted = !removed && witness.acknowledge(sender);
        return new HeartbeatAcknowledgement(
                memberId, heartbeat.sequence(), accepted, records.versions(), contact.ageMillis());
    }

    private Optional<FleetRecord> reselectLeaseGroup(FleetRecord current, String writer) {
        Optional<FleetRecord> next = FleetTransitions.reselectLeaseGroup(current, memberId, writer);
        next.flatMap(record -> record.member(memberId)).ifPresent(member -> {
            // Both groups must acknowledge, from before the write until its effect is known.
            pendingGroup = Optional.of(new PendingGroup(member.leaseGroup(), current.epoch()));
            lease.setGroups(current.member(memberId).orElseThrow().leaseGroup(), Optional.of(member.leaseGroup()));
        });
        return next;
    }

    private void applyLeaseGroups(Member self) {
        // Once the record has a later epoch than the one on which the write was based, the write has either taken
        // effect or can no longer do so.
        if (pendingGroup.isPresent()
                && records.fleet().epoch() > pendingGroup.get().baseEpoch()) {
            pendingGroup = Optional.empty();
        }
        lease.setGroups(self.leaseGroup(), pendingGroup.map(PendingGroup::members));
    }

    private Set<String> witnesses(Member self) {
        Set<String> ids = new LinkedHashSet<>(self.leaseGroup());
        pendingGroup.ifPresent(group -> ids.addAll(new ArrayList<>(group.members())));
        return ids;
    }

    private void send(Member member, Heartbeat heartbeat) {
        long startMillis = contact.beginCall();
        peers.call(member.peerAddress(), heartbeat, FleetTimes.LEASE_LIFETIME_MILLIS)
                .thenAccept(response -> {
                    if (response instanceof HeartbeatAcknowledgement acknowledgement) {
                        // A later incarnation at the same address does not know which expiries this witness confirmed.
                        if (acknowledgement.accepted()
                                && acknowledgement.witness().equals(member.id())) {
                            lease.onAcknowledgement(member.id(), acknowledgement.sequence());
                        }
                        contact.recordPeerContact(acknowledgement.storeContactAgeMillis(), startMillis);
                        distributor.fetchNewer(member.peerAddress(), acknowledgement.versions());
                    }
                });
    }

    private void logValidityChange() {
        boolean valid = lease.isValid();
        if (valid != wasValid) {
            wasValid = valid;
            log.write(valid ? LogEvent.LEASE_REGAINED : LogEvent.LEASE_LOST, "member " + memberId);
        }
    }
}
