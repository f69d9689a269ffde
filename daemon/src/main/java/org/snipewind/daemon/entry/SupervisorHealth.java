package org.snipewind.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.RecordFetch;

/**
 * Tells which supervisors answer. A frozen process or a cut network leaves its connection open for long, and a request
 * written to it ends with an unknown outcome; so a supervisor that was quiet for a while is asked for a sign of life,
 * and gets no new requests while that answer is overdue.
 */
final class SupervisorHealth {

    // Well above a round trip and the usual pauses for garbage collection, well below the 900 ms of a member lease.
    private static final long OVERDUE_MILLIS = 250;
    private static final long QUIET_MILLIS = 100;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final long NONE = -1;

    private final MillisClock clock;
    private final PeerConnections peers;
    private final Map<String, Signs> signs = new ConcurrentHashMap<>();

    /** When an address last answered, and since when a question is unanswered. */
    private static final class Signs {
        private long answeredMillis;
        private long askedMillis = NONE;

        synchronized void answered(long now) {
            answeredMillis = now;
            askedMillis = NONE;
        }

        synchronized void failed() {
            askedMillis = NONE;
        }

        synchronized boolean shouldAsk(long now) {
            if (askedMillis != NONE || now - answeredMillis < QUIET_MILLIS) {
                return false;
            }
            askedMillis = now;
            return true;
        }

        synchronized boolean isOverdue(long now) {
            return askedMillis != NONE && now - askedMillis > OVERDUE_MILLIS;
        }
    }

    SupervisorHealth(MillisClock clock, PeerConnections peers) {
        this.clock = clock;
        this.peers = peers;
    }

    /** Tells whether a request may be sent to an address, and asks for a sign of life if there was none lately. */
    boolean isAnswering(String address) {
        Signs known = signs.computeIfAbsent(address, key -> new Signs());
        long now = clock.nowMillis();
        if (known.shouldAsk(now)) {
            peers.call(address, new RecordFetch(""), CALL_TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
                if (failure == null) {
                    known.answered(clock.nowMillis());
                } else {
                    known.failed();
                }
            });
        }
        return !known.isOverdue(now);
    }

    /** Notes an answer to a request. */
    void noteAnswer(String address) {
        signs.computeIfAbsent(address, key -> new Signs()).answered(clock.nowMillis());
    }
}
