package org.snipewind.daemon;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.snipewind.daemon.entry.Readiness;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;

/** Logs changes of the daemon's readiness, the staleness of its configuration, and its roles. */
final class StateChangeLogger {

    private final Readiness readiness;
    private final Supplier<Set<String>> heldRoles;
    private final EventLog log;
    private final Set<String> knownRoles = new HashSet<>();
    private boolean wasReady;
    private boolean wasStale;

    StateChangeLogger(Readiness readiness, Supplier<Set<String>> heldRoles, EventLog log) {
        this.readiness = readiness;
        this.heldRoles = heldRoles;
        this.log = log;
    }

    /** Logs what has changed since the last call. */
    synchronized void logChanges() {
        boolean isReady = readiness.isReady();
        if (isReady && !wasReady) {
            log.write(LogEvent.DAEMON_READY, "ready to serve callers");
        }
        wasReady = isReady;
        boolean isStale = readiness.isConfigurationStale();
        if (isStale && !wasStale) {
            log.write(
                    LogEvent.CONFIGURATION_STALE,
                    "refusing requests until the store or a majority of the lease group responds");
        }
        wasStale = isStale;
        Set<String> roles = heldRoles.get();
        roles.stream().filter(role -> !knownRoles.contains(role)).forEach(role -> log.write(LogEvent.ROLE_TAKEN, role));
        knownRoles.stream().filter(role -> !roles.contains(role)).forEach(role -> log.write(LogEvent.ROLE_ENDED, role));
        knownRoles.clear();
        knownRoles.addAll(roles);
    }
}
