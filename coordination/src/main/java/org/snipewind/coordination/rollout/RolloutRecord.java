package org.snipewind.coordination.rollout;

import java.util.List;
import java.util.TreeSet;

/**
 * The durable state of the last roll-out of a pool.
 *
 * @param version version that is or was introduced
 * @param orderRevision revision of the order
 * @param phase phase of the roll-out
 * @param share fraction of the requests that go to the version while the roll-out is in progress
 * @param durationMillis time in which the roll-out is to be completed
 * @param elapsedMillis time since the order when the record was written
 * @param retired versions that the version replaces
 * @param rejected versions that were rolled back and not ordered again
 */
public record RolloutRecord(
        String version,
        long orderRevision,
        RolloutPhase phase,
        double share,
        long durationMillis,
        long elapsedMillis,
        List<String> retired,
        List<String> rejected) {

    /** Makes immutable copies of the lists. */
    public RolloutRecord {
        retired = List.copyOf(retired);
        rejected = List.copyOf(rejected);
    }

    /**
     * Returns the record of a later phase.
     *
     * @param newPhase the phase
     * @param newShare fraction of the requests that go to the version
     * @param newElapsedMillis time since the order
     * @return the record
     */
    public RolloutRecord with(RolloutPhase newPhase, double newShare, long newElapsedMillis) {
        return new RolloutRecord(
                version, orderRevision, newPhase, newShare, durationMillis, newElapsedMillis, retired, rejected);
    }

    /**
     * Returns the record of the completed roll-out.
     *
     * @param replaced versions that are in service and that the version replaces
     * @param newElapsedMillis time since the order
     * @return the record
     */
    public RolloutRecord completed(Iterable<String> replaced, long newElapsedMillis) {
        TreeSet<String> allRetired = new TreeSet<>(retired);
        replaced.forEach(allRetired::add);
        return new RolloutRecord(
                version,
                orderRevision,
                RolloutPhase.COMPLETED,
                1,
                durationMillis,
                newElapsedMillis,
                List.copyOf(allRetired),
                rejected);
    }

    /**
     * Returns the record of the version being given up.
     *
     * @param newElapsedMillis time since the order
     * @return the record
     */
    public RolloutRecord rolledBack(long newElapsedMillis) {
        TreeSet<String> allRejected = new TreeSet<>(rejected);
        allRejected.add(version);
        return new RolloutRecord(
                version,
                orderRevision,
                RolloutPhase.ROLLED_BACK,
                0,
                durationMillis,
                newElapsedMillis,
                List.of(),
                List.copyOf(allRejected));
    }
}
