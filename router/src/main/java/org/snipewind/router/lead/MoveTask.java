package org.snipewind.router.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.keyspace.KeyAssignment;

/** A range on its way to its new holder; belongs to the control loop. */
final class MoveTask {

    private final KeyAssignment assignment;
    private final Map<String, Long> freeAtMillis = new HashMap<>();
    private final Set<String> freed = new HashSet<>();
    private final Set<String> asked = new HashSet<>();
    private Optional<String> handover = Optional.empty();
    private boolean granting;
    private boolean grantSent;
    private boolean granted;
    private boolean dropped;
    private boolean suspended;
    private long retryAtMillis;

    MoveTask(KeyAssignment assignment) {
        this.assignment = assignment;
    }

    KeyAssignment assignment() {
        return assignment;
    }

    /** Sets when the hold of a previous life ends even if it does not answer. */
    void freeAt(String life, long atMillis) {
        freeAtMillis.put(life, atMillis);
    }

    /** Lists the lives that may still hold the keys. */
    List<String> unfreed(long now) {
        return assignment.previousHolders().stream()
                .filter(life -> !freed.contains(life))
                .filter(life -> now < freeAtMillis.getOrDefault(life, Long.MAX_VALUE))
                .toList();
    }

    /** Lists the lives that may hold the keys if the move is given up. */
    List<String> possibleHolders(long now) {
        Set<String> holders = new HashSet<>(unfreed(now));
        if (grantSent) {
            holders.add(assignment.holder());
        }
        return List.copyOf(holders);
    }

    boolean mayAsk(String life, long now) {
        return !asked.contains(life) && now >= retryAtMillis;
    }

    void asked(String life) {
        asked.add(life);
    }

    void released(String life, Optional<String> given) {
        asked.remove(life);
        freed.add(life);
        handover = handover.or(() -> given);
    }

    void notReleased(String life, long retryAt) {
        asked.remove(life);
        retryAtMillis = retryAt;
    }

    Optional<String> handover() {
        return handover;
    }

    boolean mayGrant(long now) {
        return !granted
                && !granting
                && !dropped
                && now >= retryAtMillis
                && unfreed(now).isEmpty();
    }

    void granting() {
        granting = true;
        grantSent = true;
    }

    void notGranted(long retryAt) {
        granting = false;
        retryAtMillis = retryAt;
    }

    void granted() {
        granting = false;
        granted = true;
    }

    boolean isGranted() {
        return granted;
    }

    /** Sends no further orders while another plan for the range is being written. */
    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
    }

    boolean isSuspended() {
        return suspended;
    }

    void drop() {
        dropped = true;
    }

    boolean isDropped() {
        return dropped;
    }

    boolean overlaps(KeyAssignment other) {
        return other.from() <= assignment.to() && other.to() >= assignment.from();
    }
}
