package org.snipewind.daemon.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.RolePlacement;
import org.snipewind.coordination.fleet.RoleRequirement;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;

/** Assigns roles that no member holds, and hands over or drops roles that this daemon should not hold. */
public final class RoleManager {

    // Members wait according to the rank of their ids, so that a missing role causes one write and not one per member.
    private static final long PLACEMENT_DELAY_PER_RANK_MILLIS = 150;
    // Roles move for balance only once the fleet record has been unchanged for this long, since each move interrupts
    // service.
    private static final long MIN_EPOCH_AGE_MILLIS = 1_000;
    private static final long MAX_DRAIN_MILLIS = 2_000;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RoleRequirements requirements;
    private final RoleRights rights;
    private final RoleActivity activity;
    private final Map<String, Long> handoverStartMillis = new HashMap<>();
    private long missingSinceMillis = Long.MAX_VALUE;
    private long knownEpoch;
    private long epochSinceMillis;
    private boolean writing;

    /**
     * Creates a manager.
     *
     * @param memberId id of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param updater writes the fleet record
     * @param requirements roles that the configuration requires
     * @param rights rights of this daemon
     * @param activity tells whether a role has work in progress
     */
    public RoleManager(
            String memberId,
            MillisClock clock,
            RecordCache records,
            RecordUpdater updater,
            RoleRequirements requirements,
            RoleRights rights,
            RoleActivity activity) {
        this.memberId = memberId;
        this.clock = clock;
        this.records = records;
        this.updater = updater;
        this.requirements = requirements;
        this.rights = rights;
        this.activity = activity;
    }

    /** Runs one round: assigns missing roles and advances the handovers of this daemon. */
    public synchronized void run() {
        Map<String, RoleRequirement> required = requirements.all();
        FleetRecord fleet = records.fleet();
        if (required.isEmpty() || fleet.member(memberId).isEmpty()) {
            return;
        }
        trackEpoch(fleet);
        placeMissing(required, fleet);
        beginHandovers(required, fleet);
        completeHandovers(required, fleet);
    }

    private void trackEpoch(FleetRecord fleet) {
        if (fleet.epoch() != knownEpoch) {
            knownEpoch = fleet.epoch();
            epochSinceMillis = clock.nowMillis();
        }
    }

    private void placeMissing(Map<String, RoleRequirement> required, FleetRecord fleet) {
        long now = clock.nowMillis();
        if (fleet.roles().keySet().containsAll(required.keySet())) {
            missingSinceMillis = Long.MAX_VALUE;
            return;
        }
        missingSinceMillis = Math.min(missingSinceMillis, now);
        int rank = new TreeSet<>(fleet.members().keySet()).headSet(memberId).size();
        if (!writing && now - missingSinceMillis >= rank * PLACEMENT_DELAY_PER_RANK_MILLIS) {
            write(updater.update(
                    RecordType.FLEET, (current, writer) -> FleetTransitions.placeRoles(current, required, writer)));
        }
    }

    private void beginHandovers(Map<String, RoleRequirement> required, FleetRecord fleet) {
        Set<String> chosen = new HashSet<>(fleet.rolesOf(memberId));
        chosen.removeAll(required.keySet());
        if (clock.nowMillis() - epochSinceMillis >= MIN_EPOCH_AGE_MILLIS) {
            chosen.addAll(RolePlacement.rolesToHandOver(fleet, memberId, required));
        }
        for (String role : chosen) {
            if (handoverStartMillis.putIfAbsent(role, clock.nowMillis()) == null) {
                rights.relinquish(role);
            }
        }
    }

    private void completeHandovers(Map<String, RoleRequirement> required, FleetRecord fleet) {
        Set<String> handedOver = new HashSet<>();
        Set<String> dropped = new HashSet<>();
        for (String role : Set.copyOf(handoverStartMillis.keySet())) {
            if (fleet.tokenOf(role, memberId).isEmpty()) {
                handoverStartMillis.remove(role);
                rights.reclaim(role);
            } else if (activity.isIdle(role)) {
                (required.containsKey(role) ? handedOver : dropped).add(role);
            } else if (clock.nowMillis() - handoverStartMillis.get(role) > MAX_DRAIN_MILLIS
                    && required.containsKey(role)) {
                // A long request keeps the role busy; a later round tries again.
                cancelHandovers(Set.of(role));
            }
        }
        if (writing || (handedOver.isEmpty() && dropped.isEmpty())) {
            return;
        }
        CompletableFuture<Boolean> result = handedOver.isEmpty()
                ? updater.update(
                        RecordType.FLEET,
                        (current, writer) -> FleetTransitions.dropRoles(current, memberId, dropped, writer))
                : updater.update(
                        RecordType.FLEET,
                        (current, writer) ->
                                FleetTransitions.handOver(current, memberId, handedOver, required, writer));
        write(result.whenComplete((written, failure) -> {
            if (failure == null && !written) {
                cancelHandovers(handedOver);
            }
        }));
    }

    private synchronized void cancelHandovers(Set<String> roles) {
        for (String role : roles) {
            handoverStartMillis.remove(role);
            rights.reclaim(role);
        }
    }

    private void write(CompletableFuture<Boolean> result) {
        writing = true;
        result.whenComplete((written, failure) -> finishWrite());
    }

    private synchronized void finishWrite() {
        writing = false;
    }
}
