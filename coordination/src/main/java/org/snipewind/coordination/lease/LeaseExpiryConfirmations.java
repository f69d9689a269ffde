package org.snipewind.coordination.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects the confirmations of a lease group that a holder's lease has ended. */
public final class LeaseExpiryConfirmations {

    private final String holder;
    private final List<String> group;
    private final Set<String> confirmed = new HashSet<>();

    /**
     * Creates evidence without confirmations.
     *
     * @param holder id of the holder of the lease
     * @param group lease group of the holder as the fleet record stores it
     */
    public LeaseExpiryConfirmations(String holder, List<String> group) {
        this.holder = holder;
        this.group = group.stream().distinct().toList();
    }

    /**
     * Gives the holder of the lease.
     *
     * @return id of the holder
     */
    public String holder() {
        return holder;
    }

    /**
     * Gives the lease group whose confirmations count.
     *
     * @return ids of the witnesses
     */
    public List<String> group() {
        return group;
    }

    /**
     * Adds the confirmation of a witness.
     *
     * @param witness id of the witness; it is ignored outside the group
     */
    public synchronized void addConfirmation(String witness) {
        if (group.contains(witness)) {
            confirmed.add(witness);
        }
    }

    /**
     * Tells whether the lease has certainly ended.
     *
     * @return true if a majority has confirmed; false for an empty group, whose holder needs no acknowledgement
     */
    public synchronized boolean hasMajority() {
        return confirmed.size() > group.size() / 2;
    }
}
