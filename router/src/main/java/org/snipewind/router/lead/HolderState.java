package org.snipewind.router.lead;

import java.util.Optional;
import org.snipewind.coordination.target.TargetRegistration;

/** What the leader knows of one life of a target that holds or held keys; belongs to the control loop. */
final class HolderState {

    /** A target that answers no order for this time gets its keys taken away. */
    private static final long SILENT_MILLIS = 700;

    /** A target that did not answer a grant is asked at this interval whether it answers at all. */
    private static final long PROBE_MILLIS = 300;

    private final String life;
    private Optional<TargetRegistration> entry = Optional.empty();
    private long heldUntilMillis;
    private long failingSinceMillis = -1;
    private long nextRenewalMillis;
    private long nextProbeMillis;
    private int grantsInFlight;

    HolderState(String life, long heldUntilMillis) {
        this.life = life;
        this.heldUntilMillis = heldUntilMillis;
    }

    String life() {
        return life;
    }

    Optional<TargetRegistration> entry() {
        return entry;
    }

    void update(TargetRegistration newest) {
        entry = Optional.of(newest);
    }

    /** Tells whether a grant is on its way, which could arrive after a release and undo it. */
    boolean isBusy() {
        return grantsInFlight > 0;
    }

    /** Each grant without an answer may have started another hold, so a failing target is probed instead. */
    boolean isRenewalDue(long now) {
        return grantsInFlight == 0 && failingSinceMillis < 0 && now >= nextRenewalMillis;
    }

    void grantSent() {
        grantsInFlight++;
    }

    void scheduleRenewal(long atMillis) {
        nextRenewalMillis = atMillis;
    }

    /** A grant has arrived or will never arrive; if it may have, the target holds the keys until it ends. */
    void grantEnded(long now, boolean answered, boolean mayHaveArrived) {
        grantsInFlight--;
        if (mayHaveArrived) {
            heldUntilMillis = Math.max(heldUntilMillis, now + LeaderTimes.longestHoldMillis());
        }
        if (answered) {
            failingSinceMillis = -1;
        } else if (failingSinceMillis < 0) {
            failingSinceMillis = now;
        }
    }

    /**
     * The target acknowledged an epoch of this leader for all its keys, so grants of former leaders are refused from
     * now on.
     */
    void acknowledged(long now) {
        heldUntilMillis = now + LeaderTimes.longestHoldMillis();
    }

    /** Gives the time at which no grant sent so far is in force any more. */
    long freeAtMillis(long now) {
        return grantsInFlight > 0
                ? Math.max(
                        heldUntilMillis,
                        now + LeaderTimes.OWNERSHIP_REQUEST_TIMEOUT_MILLIS + LeaderTimes.longestHoldMillis())
                : heldUntilMillis;
    }

    boolean isSilent(long now) {
        long failing = failingSinceMillis < 0 ? 0 : now - failingSinceMillis;
        return failing > SILENT_MILLIS;
    }

    /** Tells whether a failing target should be asked whether it answers again. */
    boolean isProbeDue(long now) {
        return failingSinceMillis >= 0 && grantsInFlight == 0 && now >= nextProbeMillis;
    }

    void probeSent(long now) {
        nextProbeMillis = now + PROBE_MILLIS;
    }

    /** The target answers again and may get keys. */
    void answers() {
        failingSinceMillis = -1;
        nextRenewalMillis = 0;
    }
}
