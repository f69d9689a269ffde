package org.snipewind.router.log;

import java.lang.System.Logger.Level;
import java.util.Locale;

/** The closed list of events of the router; docs/events.md has an entry for each. */
public enum RouterEvent {
    /** The process listens on its addresses. */
    STARTED(5001, Level.INFO),
    /** The process reports itself ready. */
    READY(5002, Level.INFO),
    /** The process reports itself as not ready. */
    NOT_READY(5003, Level.WARNING),
    /** The process got a signal to end. */
    STOPPING(5004, Level.INFO),
    /** The process ends. */
    STOPPED(5005, Level.INFO),
    /** The settings file was read again. */
    SETTINGS_RELOADED(5006, Level.INFO),
    /** The settings file can't be used; the settings in force stay. */
    SETTINGS_REJECTED(5007, Level.WARNING),
    /** What the instance did since the last such line, as the growth of its counters. */
    INSTANCE_ACTIVITY(5008, Level.INFO),
    /** The store does not answer. */
    STORE_LOST(5101, Level.WARNING),
    /** The store answers again. */
    STORE_REGAINED(5102, Level.INFO),
    /** The copy of the store was taken from a peer. */
    MIRROR_RELAYED(5103, Level.INFO),
    /** The store's history was lost and its items were read anew. */
    MIRROR_RELOADED(5104, Level.INFO),
    /** A new version of the configuration is in force. */
    CONFIGURATION_IN_FORCE(5201, Level.INFO),
    /** An item of the store can't be read and is ignored. */
    ITEM_UNREADABLE(5202, Level.WARNING),
    /** A data centre is to get no more work, or may get it again. */
    EVACUATION_CHANGED(5203, Level.INFO),
    /** A target joined, changed or left. */
    TARGET_CHANGED(5204, Level.INFO),
    /** The instances of the fleet changed. */
    MEMBERS_CHANGED(5205, Level.INFO),
    /** This instance leads. */
    LEADERSHIP_TAKEN(5301, Level.INFO),
    /** This instance does not lead any more. */
    LEADERSHIP_ENDED(5302, Level.WARNING),
    /** Another instance leads. */
    LEADER_CHANGED(5303, Level.INFO),
    /** The table of key holders was written. */
    KEYS_PLANNED(5304, Level.INFO),
    /** A range of keys has its new holder. */
    KEYS_MOVED(5305, Level.INFO),
    /** A target does not answer orders. */
    HOLDER_SILENT(5306, Level.WARNING),
    /** A target has seen a higher epoch. */
    HOLDER_FENCED(5307, Level.WARNING),
    /** A call to the store failed. */
    STORE_CALL_FAILED(5308, Level.WARNING),
    /** A former leader can't act any more, sooner than its lease allowed. */
    FORMER_LEADER_ENDED(5309, Level.INFO),
    /** A request was refused. */
    REQUEST_REFUSED(5401, Level.INFO),
    /** A request was sent once more. */
    REQUEST_REPEATED(5402, Level.INFO),
    /** A request ended with an unknown outcome. */
    REQUEST_FAILED(5403, Level.WARNING),
    /** A caller left before its answer. */
    CALLER_LEFT(5404, Level.INFO),
    /** Lines were left out to bound the volume. */
    LINES_LEFT_OUT(5901, Level.WARNING),
    /** A task failed by a fault of the program; the next round goes on. */
    TASK_FAILED(5902, Level.ERROR);

    private final int number;
    private final Level level;

    RouterEvent(int number, Level level) {
        this.number = number;
        this.level = level;
    }

    /**
     * Gives the code under which the event is listed.
     *
     * @return the code, such as SW-5001
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
