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
 * Removes in two phases a member whose lease group lost its majority, so that no witness can confirm the end of its
 * lease; and stops this daemon while it can't rule out that others do the same to it.
 */
public final class LostLeaseGroupMonitor {

    /** Time without any answer after which a member is marked. */
    public static final long UNRESPONSIVE_MILLIS = 30_000;
    /**
     * Time for which a mark must stand; longer than {@link FleetTimes#MAX_STORE_CONTACT_AGE_MILLIS} and a round
     * together.
     */
    public static final long REMOVAL_MARK_MILLIS = 15_000;

    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long HEARD_MILLIS = 5_000;
    // Below the freshness bound, so that the fleet is known before the daemon would have to stop.
    private static final long ASK_FLEET_AFTER_MILLIS = 6_000;

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
    private final Map<String, Long> heardMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> failedSince = new ConcurrentHashMap<>();
    private final Map<String, SeenMark> marks = new ConcurrentHashMap<>();

    private int turn;

    private record SeenMark(long epoch, long sinceMillis) {}

    /**
     * Creates the rule.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration asks for
     * @param rights rights of this daemon, suspended when the rule asks for it
     * @param contact newest contact with the store
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
            // A daemon that is no member has no roles; the result counts when it has just joined.
            rights.setSuspended(false);
            return;
        }
        heardMillis.keySet().retainAll(fleet.members().keySet());
        failedSince.keySet().retainAll(fleet.members().keySet());
        boolean marked = fleet.marks().containsKey(memberId);
        if (marked) {
            update((current, writer) -> FleetTransitions.clearRemovalMark(current, memberId, writer));
        }
        if (contact.ageMillis() > ASK_FLEET_AFTER_MILLIS) {
            askFleet(fleet);
        }
        boolean cutOff = contact.ageMillis() > FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS && !hearsMajority(fleet);
        rights.setSuspended(marked || cutOff);
        probe(fleet);
        if (contact.ageMillis() < FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS) {
            fleet.members().values().stream()
                    .filter(member -> failedSince.containsKey(member.id()))
                    .forEach(member -> watch(fleet, member));
        }
    }

    /** Asks one member in turn, and each member that did not answer the last time. */
    private void probe(FleetRecord fleet) {
        List<String> ids = List.copyOf(fleet.members().keySet());
        turn = (turn + 1) % ids.size();
        for (String id : ids) {
            if (!id.equals(memberId) && (failedSince.containsKey(id) || id.equals(ids.get(turn)))) {
                ask(fleet.members().get(id));
            }
        }
    }

    private boolean isUnheard(Member member) {
        Long since = failedSince.get(member.id());
        return since != null && clock.nowMillis() - since >= UNRESPONSIVE_MILLIS;
    }

    private void watch(FleetRecord fleet, Member member) {
        boolean gone = isUnheard(member) && isGoneFromPlatform(fleet, member);
        Optional<Long> mark = Optional.ofNullable(fleet.marks().get(member.id()));
        if (mark.isEmpty()) {
            marks.remove(member.id());
            if (gone) {
                log.write(LogEvent.MEMBER_MARKED, member.id());
                update((current, writer) -> FleetTransitions.markForRemoval(current, member.id(), writer));
            }
            return;
        }
        SeenMark seen = marks.compute(
                member.id(),
                (id, known) -> known != null && known.epoch() == mark.get()
                        ? known
                        : new SeenMark(mark.get(), clock.nowMillis()));
        if (gone && clock.nowMillis() - seen.sinceMillis() >= REMOVAL_MARK_MILLIS) {
            log.write(
                    LogEvent.MEMBER_REMOVED, member.id() + " after its mark stood for " + REMOVAL_MARK_MILLIS + " ms");
            update((current, writer) ->
                    FleetTransitions.removeMarked(current, member.id(), seen.epoch(), requirements.all(), writer));
        }
    }

    /** The platform lacks the instance, or the instance runs a later incarnation that has joined. */
    private boolean isGoneFromPlatform(FleetRecord fleet, Member member) {
        String instance = instanceOf(member.id());
        boolean replaced = fleet.members().values().stream()
                .anyMatch(other -> !other.id().equals(member.id())
                        && instanceOf(other.id()).equals(instance)
                        && (other.id().equals(memberId) || !isUnheard(other)));
        return replaced || instances.isAbsent(instance);
    }

    private static String instanceOf(String id) {
        return id.substring(0, Math.max(0, id.lastIndexOf('-')));
    }

    private boolean hearsMajority(FleetRecord fleet) {
        long now = clock.nowMillis();
        long heard = fleet.members().keySet().stream()
                .filter(id ->
                        id.equals(memberId) || now - heardMillis.getOrDefault(id, now - HEARD_MILLIS) < HEARD_MILLIS)
                .count();
        return heard > fleet.members().size() / 2;
    }

    private void askFleet(FleetRecord fleet) {
        Heartbeat heartbeat = new Heartbeat(0, records.versions(), contact.ageMillis());
        for (Member member : fleet.members().values()) {
            if (!member.id().equals(memberId)) {
                call(member, heartbeat);
            }
        }
    }

    private void ask(Member member) {
        call(member, new Heartbeat(0, records.versions(), contact.ageMillis()));
    }

    private void call(Member member, Heartbeat heartbeat) {
        long begun = contact.beginCall();
        peers.call(member.peerAddress(), heartbeat, CALL_TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
            // The address of a lost member may be that of its successor, which answers under another id.
            if (answer instanceof HeartbeatAcknowledgement found
                    && found.witness().equals(member.id())) {
                heardMillis.put(member.id(), clock.nowMillis());
                failedSince.remove(member.id());
                contact.recordPeerContact(found.storeContactAgeMillis(), begun);
            } else {
                failedSince.putIfAbsent(member.id(), clock.nowMillis());
            }
        });
    }

    private void update(RecordTransition<FleetRecord> transition) {
        updater.update(RecordType.FLEET, transition).exceptionally(failure -> false);
    }
}
