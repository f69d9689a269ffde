package org.snipewind.daemon.http;

import java.util.function.Supplier;
import org.snipewind.daemon.DaemonCore;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.router.metrics.RouterMetrics;

/**
 * What the operators' endpoints show.
 *
 * @param core gives the running core
 * @param gate callers' requests
 * @param metrics metrics of the daemon
 * @param operatorPort port of the operators' listener
 * @param log the event log
 */
public record HttpServerContext(
        Supplier<DaemonCore> core, CallerAdmission gate, RouterMetrics metrics, int operatorPort, EventLog log) {}
