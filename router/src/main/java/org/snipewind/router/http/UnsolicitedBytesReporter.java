package org.snipewind.router.http;

import java.util.function.Consumer;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;

/** Counts and logs bytes that belong to no request, with the server that sent them. */
public final class UnsolicitedBytesReporter {

    private static final String COUNTER_PREFIX = "unsolicited.";

    private final ProcessMetrics metrics;
    private final RouterEventLog log;

    /**
     * Creates a reporter.
     *
     * @param metrics gets a counter for each kind
     * @param log gets an event for each finding
     */
    public UnsolicitedBytesReporter(ProcessMetrics metrics, RouterEventLog log) {
        this.metrics = metrics;
        this.log = log;
        for (UnsolicitedKind kind : UnsolicitedKind.values()) {
            metrics.count(COUNTER_PREFIX + kind.wireName(), 0);
        }
    }

    /**
     * Returns a consumer of the findings on connections to one server.
     *
     * @param server incarnation of the target, or address of another server
     * @return the consumer
     */
    public Consumer<UnsolicitedBytes> forServer(String server) {
        return found -> {
            metrics.count(COUNTER_PREFIX + found.kind().wireName());
            log.write(
                    RouterEvent.UNSOLICITED_BYTES,
                    () -> "server=" + server + " kind=" + found.kind().wireName() + " local-port="
                            + found.localPort() + " exchange=" + found.exchange() + " bytes=" + found.bytes() + " age="
                            + found.ageMillis() + "ms");
        };
    }
}
