package org.snipewind.daemon.log;

import java.lang.System.Logger.Level;
import java.util.Locale;

/** The closed list of log events; docs/events.md has an entry for each. */
public enum LogEvent {
    /** The daemon listens on its addresses. */
    DAEMON_STARTED(1001, Level.INFO),
    /** The daemon has configuration, fleet record and slice tables and serves callers. */
    DAEMON_READY(1002, Level.INFO),
    /** The daemon received a signal to end. */
    SHUTDOWN_STARTED(1003, Level.INFO),
    /** The daemon ended with no work left. */
    SHUTDOWN_COMPLETED(1004, Level.INFO),
    /** Work was still in flight when the grace period ended. */
    SHUTDOWN_CUT_WORK(1005, Level.WARNING),
    /** The leave could not be written to the fleet record; the lease ends instead. */
    LEAVE_NOT_WRITTEN(1006, Level.WARNING),
    /** The daemon joined the fleet. */
    FLEET_JOINED(2001, Level.INFO),
    /** The daemon found that it is not a member any more and joins as a new incarnation. */
    FLEET_REMOVED(2002, Level.WARNING),
    /** A member was removed after its lease had certainly ended. */
    MEMBER_REMOVED(2003, Level.WARNING),
    /** The member lease is not valid; the daemon acts in no role. */
    LEASE_LOST(2004, Level.WARNING),
    /** The member lease is valid again. */
    LEASE_REGAINED(2005, Level.INFO),
    /** The daemon took a role. */
    ROLE_TAKEN(2006, Level.INFO),
    /** The daemon gave a role away or lost it. */
    ROLE_ENDED(2007, Level.INFO),
    /** A member was marked for removal under the two-phase rule. */
    MEMBER_MARKED(2008, Level.WARNING),
    /** A new configuration revision is in force. */
    CONFIGURATION_IN_FORCE(3001, Level.INFO),
    /** A record could not be decoded and was ignored. */
    RECORD_MALFORMED(3002, Level.ERROR),
    /** The configuration may be stale, so keyed requests are refused. */
    CONFIGURATION_STALE(3003, Level.WARNING),
    /** The store does not answer. */
    STORE_UNREACHABLE(3004, Level.WARNING),
    /** The store answers again. */
    STORE_REACHABLE(3005, Level.INFO),
    /** A slice table was written. */
    TABLE_WRITTEN(4001, Level.INFO),
    /** A target acknowledges its grant. */
    TARGET_LIVE(4002, Level.INFO),
    /** A target does not acknowledge its grant. */
    TARGET_SUSPECTED(4003, Level.WARNING),
    /** The grant of a target has certainly ended. */
    TARGET_LOST(4004, Level.WARNING),
    /** A target restarted and begins in cold start. */
    TARGET_RESTARTED(4005, Level.WARNING),
    /** A target refused an order or request under a higher token. */
    TARGET_FENCED(4006, Level.WARNING),
    /** A control loop failed and goes on with its next round. */
    LOOP_FAILED(9001, Level.ERROR),
    /** A request ended by a fault of the daemon. */
    REQUEST_FAULT(9002, Level.ERROR);

    private final int number;
    private final Level level;

    LogEvent(int number, Level level) {
        this.number = number;
        this.level = level;
    }

    /**
     * Gives the number under which the event is listed in the catalogue.
     *
     * @return the code, such as SW-1001
     */
    public String code() {
        return "SW-" + number;
    }

    /**
     * Gives the level of the event.
     *
     * @return the log level
     */
    public Level level() {
        return level;
    }

    /**
     * Gives the name of the event as logged.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
