package org.snipewind.daemon.http;

import java.util.function.Supplier;
import org.snipewind.daemon.DaemonCore;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.router.metrics.ProcessMetrics;

/**
 * The parts of the daemon that the HTTP endpoints and filters use.
 *
 * @param core supplies the current core
 * @param admission admits callers' requests and counts those in progress
 * @param metrics metrics of the daemon
 * @param operatorPort port of the operators' listener
 * @param log the event log
 */
public record HttpServerContext(
        Supplier<DaemonCore> core, CallerAdmission admission, ProcessMetrics metrics, int operatorPort, EventLog log) {}
