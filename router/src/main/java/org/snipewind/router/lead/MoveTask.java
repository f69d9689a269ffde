package org.snipewind.router.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.keyspace.KeyAssignment;

/** The progress of moving a key range to a new holder. Confined to the control event loop. */
final class MoveTask {

    private final KeyAssignment assignment;
    private final Map<String, Long> grantExpiryMillisByHolder = new HashMap<>();
    private final Set<String> releasedHolders = new HashSet<>();
    private final Set<String> pendingReleases = new HashSet<>();
    private Optional<String> handover = Optional.empty();
    private boolean grantInFlight;
    private boolean grantAttempted;
    private boolean granted;
    private boolean cancelled;
    private boolean suspended;
    private long retryAtMillis;

    MoveTask(KeyAssignment assignment) {
        this.assignment = assignment;
    }

    KeyAssignment assignment() {
        return assignment;
    }

    /** Sets when the grant of a previous holder expires even if the holder does not respond. */
    void setGrantExpiry(String holder, long expiryMillis) {
        grantExpiryMillisByHolder.put(holder, expiryMillis);
    }

    /** Returns the previous holders that may still hold keys of the range. */
    List<String> unreleasedHolders(long now) {
        return assignment.previousHolders().stream()
                .filter(holder -> !releasedHolders.contains(holder))
                .filter(holder -> now < grantExpiryMillisByHolder.getOrDefault(holder, Long.MAX_VALUE))
                .toList();
    }

    /** Returns the incarnations that may hold keys of the range if the move is cancelled now. */
    List<String> possibleHolders(long now) {
        Set<String> holders = new HashSet<>(unreleasedHolders(now));
        if (grantAttempted) {
            holders.add(assignment.holder());
        }
        return List.copyOf(holders);
    }

    boolean mayRequestRelease(String holder, long now) {
        return !pendingReleases.contains(holder) && now >= retryAtMillis;
    }

    void recordReleaseRequested(String holder) {
        pendingReleases.add(holder);
    }

    void recordReleased(String holder, Optional<String> handedOver) {
        pendingReleases.remove(holder);
        releasedHolders.add(holder);
        handover = handover.or(() -> handedOver);
    }

    void recordReleaseFailed(String holder, long nextAttemptMillis) {
        pendingReleases.remove(holder);
        retryAtMillis = nextAttemptMillis;
    }

    Optional<String> handover() {
        return handover;
    }

    boolean mayRequestGrant(long now) {
        return !granted
                && !grantInFlight
                && !cancelled
                && now >= retryAtMillis
                && unreleasedHolders(now).isEmpty();
    }

    void recordGrantRequested() {
        grantInFlight = true;
        grantAttempted = true;
    }

    void recordGrantFailed(long nextAttemptMillis) {
        grantInFlight = false;
        retryAtMillis = nextAttemptMillis;
    }

    void recordGranted() {
        grantInFlight = false;
        granted = true;
    }

    boolean isGranted() {
        return granted;
    }

    /** Holds back further ownership requests while another plan for the range is being written. */
    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
    }

    boolean isSuspended() {
        return suspended;
    }

    void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    boolean overlaps(KeyAssignment other) {
        return other.from() <= assignment.to() && other.to() >= assignment.from();
    }
}
