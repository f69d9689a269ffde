package org.snipewind.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.RecordFetch;

/**
 * Detects unresponsive supervisors. The connection to a stopped process or across a network partition may stay open for
 * long, and a request written to it ends with an unknown outcome. A supervisor without a recent response is therefore
 * probed, and gets no new requests while its response is overdue.
 */
final class SupervisorHealth {

    // Well above a round trip and usual garbage collection pauses, well below the 900 ms lifetime of a member lease.
    private static final long RESPONSE_OVERDUE_MILLIS = 250;
    private static final long PROBE_AFTER_IDLE_MILLIS = 100;
    private static final long PROBE_TIMEOUT_MILLIS = 2_000;
    private static final long NO_PROBE = -1;

    private final MillisClock clock;
    private final PeerConnections peers;
    private final Map<String, ContactState> contactStates = new ConcurrentHashMap<>();

    /** The time of the last response from an address, and the time at which the unanswered probe was sent, if any. */
    private static final class ContactState {
        private long respondedAtMillis;
        private long probeSentAtMillis = NO_PROBE;

        synchronized void recordResponse(long now) {
            respondedAtMillis = now;
            probeSentAtMillis = NO_PROBE;
        }

        synchronized void recordProbeFailure() {
            probeSentAtMillis = NO_PROBE;
        }

        synchronized boolean startProbeIfIdle(long now) {
            if (probeSentAtMillis != NO_PROBE || now - respondedAtMillis < PROBE_AFTER_IDLE_MILLIS) {
                return false;
            }
            probeSentAtMillis = now;
            return true;
        }

        synchronized boolean isResponseOverdue(long now) {
            return probeSentAtMillis != NO_PROBE && now - probeSentAtMillis > RESPONSE_OVERDUE_MILLIS;
        }
    }

    SupervisorHealth(MillisClock clock, PeerConnections peers) {
        this.clock = clock;
        this.peers = peers;
    }

    /** Returns whether a request may be sent to an address, and probes it if it has not responded recently. */
    boolean isResponsive(String address) {
        ContactState state = contactStates.computeIfAbsent(address, key -> new ContactState());
        long now = clock.nowMillis();
        if (state.startProbeIfIdle(now)) {
            peers.call(address, new RecordFetch(""), PROBE_TIMEOUT_MILLIS).whenComplete((response, failure) -> {
                if (failure == null) {
                    state.recordResponse(clock.nowMillis());
                } else {
                    state.recordProbeFailure();
                }
            });
        }
        return !state.isResponseOverdue(now);
    }

    /** Records that an address has responded to a request. */
    void recordResponse(String address) {
        contactStates.computeIfAbsent(address, key -> new ContactState()).recordResponse(clock.nowMillis());
    }
}
