package org.snipewind.router.lead;

import java.util.Optional;
import java.util.OptionalLong;
import org.snipewind.coordination.keyspace.KeyEpochs;
import org.snipewind.coordination.target.TargetRegistration;

/** The leader's state of one incarnation of a target that holds or held keys. Confined to the control event loop. */
final class HolderState {

    /** The keys of a target that has not responded to ownership requests for this time are moved to others. */
    private static final long UNRESPONSIVE_AFTER_MILLIS = 700;

    /** Interval between probes of a target that did not respond to a grant. */
    private static final long PROBE_INTERVAL_MILLIS = 300;

    private final String incarnation;
    private final long formerGrantsExpireAtMillis;
    private Optional<TargetRegistration> registration = Optional.empty();
    private long grantExpiryMillis;

    /** The connection of the newest grant, and the lowest epoch that may be used on it. */
    private OptionalLong grantConnection = OptionalLong.empty();

    private long lowestEpoch;

    /** Whether the grants of the present series of renewals use one connection. */
    private boolean seriesOnOneConnection;

    private long failingSinceMillis = -1;
    private long nextRenewalMillis;
    private long nextProbeMillis;
    private int grantsInFlight;

    HolderState(String incarnation, long formerGrantsExpireAtMillis) {
        this.incarnation = incarnation;
        this.formerGrantsExpireAtMillis = formerGrantsExpireAtMillis;
        this.grantExpiryMillis = formerGrantsExpireAtMillis;
    }

    String incarnation() {
        return incarnation;
    }

    Optional<TargetRegistration> registration() {
        return registration;
    }

    void updateRegistration(TargetRegistration newRegistration) {
        registration = Optional.of(newRegistration);
    }

    /** Returns whether a grant is in flight, which could arrive after a release and undo it. */
    boolean hasGrantInFlight() {
        return grantsInFlight > 0;
    }

    /**
     * Returns whether a renewal of the grants is due. A failing target is probed instead, since each unanswered grant
     * may have prolonged its right to the keys.
     */
    boolean isRenewalDue(long now) {
        return grantsInFlight == 0 && failingSinceMillis < 0 && now >= nextRenewalMillis;
    }

    void recordGrantSent() {
        grantsInFlight++;
    }

    void scheduleRenewal(long atMillis) {
        nextRenewalMillis = atMillis;
        seriesOnOneConnection = true;
    }

    /** Returns whether the newest grant was sent on another connection than the given one. */
    boolean usesOtherConnection(long connection) {
        return grantConnection.isPresent() && grantConnection.getAsLong() != connection;
    }

    /**
     * Returns the epoch of a grant that is sent on a connection. A process that has started again under its id may not
     * have registered itself yet, but it has none of the connections of its former life. So no epoch is used on two
     * connections to a target.
     *
     * <p>The connection may be opened only after the key table was changed, and the range may have another holder by
     * then. So the epoch is below all that are written to the table after the grant was decided on.
     *
     * @param connection number of the connection
     * @param assignedEpoch epoch of the range in the key table
     * @param highestEpoch highest epoch of the key table when the grant was decided on
     * @return the epoch, empty if there is none left
     */
    OptionalLong epochOn(long connection, long assignedEpoch, long highestEpoch) {
        if (lowestEpoch >= KeyEpochs.nextWritten(highestEpoch + 1)) {
            return OptionalLong.empty();
        }
        if (usesOtherConnection(connection)) {
            OptionalLong next = KeyEpochs.nextRenewal(Math.max(lowestEpoch, highestEpoch));
            if (next.isEmpty()) {
                return next;
            }
            lowestEpoch = next.getAsLong();
            seriesOnOneConnection = false;
            // A new process has not seen the epochs that the former one acknowledged.
            grantExpiryMillis = Math.max(grantExpiryMillis, formerGrantsExpireAtMillis);
        }
        grantConnection = OptionalLong.of(connection);
        return OptionalLong.of(Math.max(assignedEpoch, lowestEpoch));
    }

    /** Records that a grant is no longer in flight. If it may have arrived, the keys are held until it expires. */
    void recordGrantEnded(long now, boolean responded, boolean mayHaveArrived) {
        grantsInFlight--;
        if (mayHaveArrived) {
            grantExpiryMillis = Math.max(grantExpiryMillis, now + LeaderTimes.maxGrantLifetimeMillis());
        }
        if (responded) {
            failingSinceMillis = -1;
        } else if (failingSinceMillis < 0) {
            failingSinceMillis = now;
        }
    }

    /**
     * Records that the target has acknowledged an epoch of this leader for all its keys. If it was one process, it
     * refuses grants of former leaders from now on.
     */
    void recordAllGrantsAcknowledged(long now) {
        if (seriesOnOneConnection) {
            grantExpiryMillis = now + LeaderTimes.maxGrantLifetimeMillis();
        }
    }

    /** Returns the time at which all grants sent so far have expired. */
    long latestGrantExpiryMillis(long now) {
        return grantsInFlight > 0
                ? Math.max(
                        grantExpiryMillis,
                        now + LeaderTimes.OWNERSHIP_REQUEST_TIMEOUT_MILLIS + LeaderTimes.maxGrantLifetimeMillis())
                : grantExpiryMillis;
    }

    boolean isUnresponsive(long now) {
        long failingForMillis = failingSinceMillis < 0 ? 0 : now - failingSinceMillis;
        return failingForMillis > UNRESPONSIVE_AFTER_MILLIS;
    }

    /** Returns whether a failing target is to be probed now. */
    boolean isProbeDue(long now) {
        return failingSinceMillis >= 0 && grantsInFlight == 0 && now >= nextProbeMillis;
    }

    void recordProbeSent(long now) {
        nextProbeMillis = now + PROBE_INTERVAL_MILLIS;
    }

    /** Records that the target responds again and may get keys. */
    void recordReachable() {
        failingSinceMillis = -1;
        nextRenewalMillis = 0;
    }
}
