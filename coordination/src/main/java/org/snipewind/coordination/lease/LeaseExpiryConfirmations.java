package org.snipewind.coordination.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects the confirmations of a lease group that a holder's lease has expired. */
public final class LeaseExpiryConfirmations {

    private final String holder;
    private final List<String> group;
    private final Set<String> confirmingWitnesses = new HashSet<>();

    /**
     * Creates a collection without confirmations.
     *
     * @param holder id of the holder of the lease
     * @param group lease group of the holder as stored in the fleet record
     */
    public LeaseExpiryConfirmations(String holder, List<String> group) {
        this.holder = holder;
        this.group = group.stream().distinct().toList();
    }

    /**
     * Returns the holder of the lease.
     *
     * @return id of the holder
     */
    public String holder() {
        return holder;
    }

    /**
     * Returns the lease group whose confirmations count.
     *
     * @return ids of the witnesses
     */
    public List<String> group() {
        return group;
    }

    /**
     * Adds the confirmation of a witness.
     *
     * @param witness id of the witness; a witness outside the group is ignored
     */
    public synchronized void addConfirmation(String witness) {
        if (group.contains(witness)) {
            confirmingWitnesses.add(witness);
        }
    }

    /**
     * Returns whether a majority of the group has confirmed, which proves that the lease has expired.
     *
     * @return true if a majority has confirmed; false for an empty group, whose holder needs no acknowledgements
     */
    public synchronized boolean hasMajority() {
        return confirmingWitnesses.size() > group.size() / 2;
    }
}
