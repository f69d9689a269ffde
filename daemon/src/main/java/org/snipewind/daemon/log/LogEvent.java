package org.snipewind.daemon.log;

import java.lang.System.Logger.Level;
import java.util.Locale;

/** All log events; docs/events.md documents each of them. */
public enum LogEvent {
    /** The daemon has opened its listeners. */
    DAEMON_STARTED(1001, Level.INFO),
    /** The daemon has configuration, fleet record and slice tables, and can serve callers. */
    DAEMON_READY(1002, Level.INFO),
    /** The daemon received a signal to stop. */
    SHUTDOWN_STARTED(1003, Level.INFO),
    /** The daemon stopped after all work in flight was completed. */
    SHUTDOWN_COMPLETED(1004, Level.INFO),
    /** Work was still in flight when the grace period ended. */
    SHUTDOWN_CUT_WORK(1005, Level.WARNING),
    /** The daemon could not remove itself from the fleet record; peers remove it after its lease has expired. */
    LEAVE_NOT_WRITTEN(1006, Level.WARNING),
    /** The daemon joined the fleet. */
    FLEET_JOINED(2001, Level.INFO),
    /** The daemon detected that it is no longer a member, and rejoins as a new incarnation. */
    FLEET_REMOVED(2002, Level.WARNING),
    /** A member was removed after its lease had certainly expired. */
    MEMBER_REMOVED(2003, Level.WARNING),
    /** The member lease is no longer valid; the daemon does not act in any role. */
    LEASE_LOST(2004, Level.WARNING),
    /** The member lease is valid again. */
    LEASE_REGAINED(2005, Level.INFO),
    /** The daemon was assigned a role. */
    ROLE_TAKEN(2006, Level.INFO),
    /** The daemon handed over or lost a role. */
    ROLE_ENDED(2007, Level.INFO),
    /** A member whose lease group can't confirm the end of its lease was marked, the first phase of its removal. */
    MEMBER_MARKED(2008, Level.WARNING),
    /** A new configuration revision has taken effect. */
    CONFIGURATION_IN_FORCE(3001, Level.INFO),
    /** A record could not be decoded and was ignored. */
    RECORD_MALFORMED(3002, Level.ERROR),
    /** The configuration may be outdated, so requests are refused. */
    CONFIGURATION_STALE(3003, Level.WARNING),
    /** The store does not respond. */
    STORE_UNREACHABLE(3004, Level.WARNING),
    /** The store responds again. */
    STORE_REACHABLE(3005, Level.INFO),
    /** A slice table was written. */
    TABLE_WRITTEN(4001, Level.INFO),
    /** A target acknowledges its grant. */
    TARGET_LIVE(4002, Level.INFO),
    /** A target does not acknowledge its grant. */
    TARGET_SUSPECTED(4003, Level.WARNING),
    /** The grant of a target has certainly expired. */
    TARGET_LOST(4004, Level.WARNING),
    /** A target restarted and is in cold start. */
    TARGET_RESTARTED(4005, Level.WARNING),
    /** A target rejected a request, because it has already seen a higher fencing token. */
    TARGET_FENCED(4006, Level.WARNING),
    /** An iteration of a control loop failed; the loop continues with the next one. */
    LOOP_FAILED(9001, Level.ERROR),
    /** A request failed because of an internal error of the daemon. */
    REQUEST_FAULT(9002, Level.ERROR);

    private final int number;
    private final Level level;

    LogEvent(int number, Level level) {
        this.number = number;
        this.level = level;
    }

    /**
     * Returns the code of the event in the documentation.
     *
     * @return the code, such as SW-1001
     */
    public String code() {
        return "SW-" + number;
    }

    /**
     * Returns the log level of the event.
     *
     * @return the log level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns the name of the event as written to the log.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
