package org.snipewind.daemon.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordTransition;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.daemon.record.StoreContact;
import org.snipewind.protocol.Heartbeat;
import org.snipewind.protocol.HeartbeatAcknowledgement;
import org.snipewind.protocol.PeerConnections;

/**
 * Removes members whose lease group has lost its majority, so that the remaining witnesses cannot confirm the expiry of
 * the lease. The removal has two phases: a member that stays unresponsive is marked, and removed if the mark still
 * exists later. This daemon stops acting in its roles while it cannot rule out that others remove it in the same way.
 */
public final class LostLeaseGroupMonitor {

    /** Time without any response after which a member is marked for removal. */
    public static final long UNRESPONSIVE_MILLIS = 30_000;
    /**
     * Time for which a mark must exist before the member is removed; longer than
     * {@link FleetTimes#MAX_STORE_CONTACT_AGE_MILLIS} and one round together.
     */
    public static final long REMOVAL_MARK_MILLIS = 15_000;

    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long RECENT_RESPONSE_MILLIS = 5_000;
    // Below the maximum age of the store contact, so that the responses arrive before this daemon would have to stop.
    private static final long PROBE_ALL_AFTER_MILLIS = 6_000;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RoleRequirements requirements;
    private final RoleRights rights;
    private final StoreContact contact;
    private final InstanceListCache instances;
    private final PeerConnections peers;
    private final EventLog log;
    private final Map<String, Long> lastResponseMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> unresponsiveSinceMillis = new ConcurrentHashMap<>();
    private final Map<String, ObservedMark> observedMarks = new ConcurrentHashMap<>();

    private int probeIndex;

    private record ObservedMark(long epoch, long sinceMillis) {}

    /**
     * Creates a monitor.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration requires
     * @param rights rights of this daemon, suspended while others may remove it
     * @param contact most recent contact with the store
     * @param instances the platform's list of instances
     * @param peers connections to peers
     * @param log the event log
     */
    public LostLeaseGroupMonitor(
            String memberId,
            MillisClock clock,
            RecordCache records,
            RecordUpdater updater,
            RoleRequirements requirements,
            RoleRights rights,
            StoreContact contact,
            InstanceListCache instances,
            PeerConnections peers,
            EventLog log) {
        this.memberId = memberId;
        this.clock = clock;
        this.records = records;
        this.updater = updater;
        this.requirements = requirements;
        this.rights = rights;
        this.contact = contact;
        this.instances = instances;
        this.peers = peers;
        this.log = log;
    }

    /** Runs one round; it is due about once a second. */
    public void run() {
        FleetRecord fleet = records.fleet();
        if (fleet.member(memberId).isEmpty()) {
            // A daemon that is not a member has no roles. This check counts once it has joined.
            rights.setSuspended(false);
            return;
        }
        lastResponseMillis.keySet().retainAll(fleet.members().keySet());
        unresponsiveSinceMillis.keySet().retainAll(fleet.members().keySet());
        boolean marked = fleet.marks().containsKey(memberId);
        if (marked) {
            update((current, writer) -> FleetTransitions.clearRemovalMark(current, memberId, writer));
        }
        if (contact.ageMillis() > PROBE_ALL_AFTER_MILLIS) {
            probeAllMembers(fleet);
        }
        boolean isolated = contact.ageMillis() > FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS && !reachesMajority(fleet);
        rights.setSuspended(marked || isolated);
        probeMembers(fleet);
        if (contact.ageMillis() < FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS) {
            fleet.members().values().stream()
                    .filter(member -> unresponsiveSinceMillis.containsKey(member.id()))
                    .forEach(member -> markOrRemove(fleet, member));
        }
    }

    /** Probes the next member in turn, and each member that did not respond to its last probe. */
    private void probeMembers(FleetRecord fleet) {
        List<String> ids = List.copyOf(fleet.members().keySet());
        probeIndex = (probeIndex + 1) % ids.size();
        for (String id : ids) {
            if (!id.equals(memberId) && (unresponsiveSinceMillis.containsKey(id) || id.equals(ids.get(probeIndex)))) {
                probeMember(fleet.members().get(id));
            }
        }
    }

    private boolean isUnresponsive(Member member) {
        Long sinceMillis = unresponsiveSinceMillis.get(member.id());
        return sinceMillis != null && clock.nowMillis() - sinceMillis >= UNRESPONSIVE_MILLIS;
    }

    private void markOrRemove(FleetRecord fleet, Member member) {
        boolean gone = isUnresponsive(member) && isGoneFromPlatform(fleet, member);
        Optional<Long> mark = Optional.ofNullable(fleet.marks().get(member.id()));
        if (mark.isEmpty()) {
            observedMarks.remove(member.id());
            if (gone) {
                log.write(LogEvent.MEMBER_MARKED, member.id());
                update((current, writer) -> FleetTransitions.markForRemoval(current, member.id(), writer));
            }
            return;
        }
        ObservedMark observed = observedMarks.compute(
                member.id(),
                (id, known) -> known != null && known.epoch() == mark.get()
                        ? known
                        : new ObservedMark(mark.get(), clock.nowMillis()));
        if (gone && clock.nowMillis() - observed.sinceMillis() >= REMOVAL_MARK_MILLIS) {
            log.write(
                    LogEvent.MEMBER_REMOVED,
                    member.id() + " was marked for removal for " + REMOVAL_MARK_MILLIS + " ms");
            update((current, writer) ->
                    FleetTransitions.removeMarked(current, member.id(), observed.epoch(), requirements.all(), writer));
        }
    }

    /** Returns whether the platform does not list the instance, or a later incarnation on it has joined the fleet. */
    private boolean isGoneFromPlatform(FleetRecord fleet, Member member) {
        String instance = instanceOf(member.id());
        boolean replaced = fleet.members().values().stream()
                .anyMatch(other -> !other.id().equals(member.id())
                        && instanceOf(other.id()).equals(instance)
                        && (other.id().equals(memberId) || !isUnresponsive(other)));
        return replaced || instances.isAbsent(instance);
    }

    private static String instanceOf(String id) {
        return id.substring(0, Math.max(0, id.lastIndexOf('-')));
    }

    private boolean reachesMajority(FleetRecord fleet) {
        long now = clock.nowMillis();
        long reached = fleet.members().keySet().stream()
                .filter(id -> id.equals(memberId)
                        || now - lastResponseMillis.getOrDefault(id, now - RECENT_RESPONSE_MILLIS)
                                < RECENT_RESPONSE_MILLIS)
                .count();
        return reached > fleet.members().size() / 2;
    }

    private void probeAllMembers(FleetRecord fleet) {
        Heartbeat heartbeat = new Heartbeat(0, records.versions(), contact.ageMillis());
        for (Member member : fleet.members().values()) {
            if (!member.id().equals(memberId)) {
                call(member, heartbeat);
            }
        }
    }

    private void probeMember(Member member) {
        call(member, new Heartbeat(0, records.versions(), contact.ageMillis()));
    }

    private void call(Member member, Heartbeat heartbeat) {
        long startMillis = contact.beginCall();
        peers.call(member.peerAddress(), heartbeat, CALL_TIMEOUT_MILLIS).whenComplete((response, failure) -> {
            // A later incarnation may have the address of the lost member; it responds with another id.
            if (response instanceof HeartbeatAcknowledgement acknowledgement
                    && acknowledgement.witness().equals(member.id())) {
                lastResponseMillis.put(member.id(), clock.nowMillis());
                unresponsiveSinceMillis.remove(member.id());
                contact.recordPeerContact(acknowledgement.storeContactAgeMillis(), startMillis);
            } else {
                unresponsiveSinceMillis.putIfAbsent(member.id(), clock.nowMillis());
            }
        });
    }

    private void update(RecordTransition<FleetRecord> transition) {
        updater.update(RecordType.FLEET, transition).exceptionally(failure -> false);
    }
}
