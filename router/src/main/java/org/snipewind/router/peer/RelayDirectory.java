package org.snipewind.router.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.snipewind.router.state.MemberRecord;

/**
 * Determines which instance of a data centre exchanges messages with the other data centres on behalf of the others, so
 * that their cost does not depend on the number of instances.
 *
 * <p>The choice follows from the members alone. Instances that know the same members name the same relay.
 */
final class RelayDirectory {

    /** The instance with the highest capacity is first, and among equal ones the first by name. */
    private static final Comparator<MemberRecord> ORDER =
            Comparator.comparingDouble(MemberRecord::capacity).reversed().thenComparing(MemberRecord::name);

    private RelayDirectory() {}

    /**
     * Returns the relay of a data centre.
     *
     * @param dataCentre name of the data centre
     * @param members all instances of the router
     * @return the instance with the highest capacity, ties broken by name; empty if the data centre has no instance
     */
    static Optional<MemberRecord> relayOf(String dataCentre, Collection<MemberRecord> members) {
        return members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .min(ORDER);
    }
}
