package org.snipewind.daemon;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.snipewind.daemon.entry.Readiness;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;

/** Logs the changes of a daemon's readiness and roles. */
final class StateChangeLogger {

    private final Readiness readiness;
    private final Supplier<Set<String>> heldRoles;
    private final EventLog log;
    private final Set<String> knownRoles = new HashSet<>();
    private boolean ready;
    private boolean stale;

    StateChangeLogger(Readiness readiness, Supplier<Set<String>> heldRoles, EventLog log) {
        this.readiness = readiness;
        this.heldRoles = heldRoles;
        this.log = log;
    }

    /** Compares the state with that of the last call and logs what changed. */
    synchronized void run() {
        boolean nowReady = readiness.isReady();
        if (nowReady && !ready) {
            log.write(LogEvent.DAEMON_READY, "serves callers");
        }
        ready = nowReady;
        boolean nowStale = readiness.isConfigurationStale();
        if (nowStale && !stale) {
            log.write(LogEvent.CONFIGURATION_STALE, "requests are refused until the store or a majority is heard");
        }
        stale = nowStale;
        Set<String> roles = heldRoles.get();
        roles.stream().filter(role -> !knownRoles.contains(role)).forEach(role -> log.write(LogEvent.ROLE_TAKEN, role));
        knownRoles.stream().filter(role -> !roles.contains(role)).forEach(role -> log.write(LogEvent.ROLE_ENDED, role));
        knownRoles.clear();
        knownRoles.addAll(roles);
    }
}
