package org.snipewind.router.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.snipewind.router.state.MemberRecord;

/**
 * Decides through which instance the leader's broadcast reaches another data centre, and when another one or none takes
 * its place. Not thread-safe.
 */
final class RelayChoice {

    /** With fewer instances, acknowledgements cost about as much between data centres as a relay saves. */
    private static final int MIN_RELAYED_INSTANCES = 4;

    /** Time for which an instance is no relay after it failed to acknowledge; it doubles with each further failure. */
    private static final long INITIAL_SUSPENSION_MILLIS = 5_000;

    private static final int MAX_DOUBLINGS = 4;

    /**
     * Relays of a data centre that may fail in a row before its instances get the broadcast directly. After the
     * confirmation interval of 400 ms and two time-outs of 300 ms, the last confirmation is still valid.
     */
    private static final int MAX_FAILURES_IN_ROW = 2;

    /** Time for which the instances of a data centre get the broadcast directly after its relays have failed. */
    private static final long DIRECT_MILLIS = 5_000;

    private record Suspension(long untilMillis, int failures) {}

    /** Failures of relays that acknowledged nothing since, by process. */
    private final Map<String, Suspension> suspensions = new HashMap<>();

    /** Relays that failed in a row, by data centre. */
    private final Map<String, Integer> failuresInRow = new HashMap<>();

    /** Times until which the broadcast is sent directly, by data centre. */
    private final Map<String, Long> directUntilMillis = new HashMap<>();

    /**
     * Returns the relay of a data centre.
     *
     * @param dataCentre name of the data centre, not that of the leader
     * @param members all instances of the router
     * @param nowMillis current time
     * @return the relay, empty if each instance of the data centre is to get the broadcast directly
     */
    Optional<MemberRecord> relayOf(String dataCentre, Collection<MemberRecord> members, long nowMillis) {
        List<MemberRecord> candidates = members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .toList();
        if (candidates.size() < MIN_RELAYED_INSTANCES || nowMillis < directUntilMillis.getOrDefault(dataCentre, 0L)) {
            return Optional.empty();
        }
        return RelayDirectory.relayOf(
                dataCentre,
                candidates.stream()
                        .filter(member -> !isSuspended(member, nowMillis))
                        .toList());
    }

    /** Records that a relay did not acknowledge a broadcast. */
    void recordFailure(MemberRecord relay, long nowMillis) {
        int failures = Optional.ofNullable(suspensions.get(relay.processId()))
                        .map(Suspension::failures)
                        .orElse(0)
                + 1;
        long millis = INITIAL_SUSPENSION_MILLIS << Math.min(failures - 1, MAX_DOUBLINGS);
        suspensions.put(relay.processId(), new Suspension(nowMillis + millis, failures));
        if (failuresInRow.merge(relay.dataCentre(), 1, Integer::sum) >= MAX_FAILURES_IN_ROW) {
            failuresInRow.remove(relay.dataCentre());
            directUntilMillis.put(relay.dataCentre(), nowMillis + DIRECT_MILLIS);
        }
    }

    /** Records that a relay acknowledged a broadcast. */
    void recordAcknowledgement(MemberRecord relay) {
        suspensions.remove(relay.processId());
        failuresInRow.remove(relay.dataCentre());
    }

    /** Forgets the failures of processes that have left. */
    void retain(Collection<MemberRecord> members) {
        suspensions
                .keySet()
                .retainAll(members.stream().map(MemberRecord::processId).collect(Collectors.toSet()));
    }

    /** Forgets all failures. */
    void clear() {
        suspensions.clear();
        failuresInRow.clear();
        directUntilMillis.clear();
    }

    private boolean isSuspended(MemberRecord member, long nowMillis) {
        Suspension suspension = suspensions.get(member.processId());
        return suspension != null && nowMillis < suspension.untilMillis();
    }
}
