package org.snipewind.router.peer;

import java.util.ArrayList;
import java.util.List;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.state.MemberRecord;

/** The present relay of a data centre with the deltas that it has not acknowledged yet. Not thread-safe. */
final class RelayLink {

    /** A delta and the time at which it was created. */
    record Entry(MirrorDelta delta, long createdMillis) {}

    private final MemberRecord relay;
    private final ClockOffset clockOffset = new ClockOffset();
    private final List<Entry> unacknowledged;

    /**
     * Creates a link to a new relay.
     *
     * @param relay the relay
     * @param unacknowledged deltas that the former relay has not acknowledged, in order
     */
    RelayLink(MemberRecord relay, List<Entry> unacknowledged) {
        this.relay = relay;
        this.unacknowledged = new ArrayList<>(unacknowledged);
    }

    MemberRecord relay() {
        return relay;
    }

    ClockOffset clockOffset() {
        return clockOffset;
    }

    /** Returns the deltas that are not acknowledged, in order. */
    List<Entry> unacknowledged() {
        return List.copyOf(unacknowledged);
    }

    void add(Entry entry) {
        unacknowledged.add(entry);
    }

    void acknowledge(Entry entry) {
        unacknowledged.removeIf(other -> other == entry);
    }
}
