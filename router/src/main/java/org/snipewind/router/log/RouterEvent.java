package org.snipewind.router.log;

import java.lang.System.Logger.Level;
import java.util.Locale;

/** All events that the router logs; each of them is described in docs/events.md. */
public enum RouterEvent {
    /** The process listens on its addresses. */
    STARTED(5001, Level.INFO),
    /** The instance reports that it is ready. */
    READY(5002, Level.INFO),
    /** The instance reports that it is not ready. */
    NOT_READY(5003, Level.WARNING),
    /** The process received a signal to terminate. */
    STOPPING(5004, Level.INFO),
    /** The process terminates. */
    STOPPED(5005, Level.INFO),
    /** The settings file was read again. */
    SETTINGS_RELOADED(5006, Level.INFO),
    /** The settings file is invalid; the settings in force are kept. */
    SETTINGS_REJECTED(5007, Level.WARNING),
    /** A periodic summary of the instance's activity: the increase of its counters since the last summary. */
    INSTANCE_ACTIVITY(5008, Level.INFO),
    /** The system does not tell how many file descriptors the process may have; a usual limit is assumed. */
    DESCRIPTOR_LIMIT_UNKNOWN(5009, Level.WARNING),
    /** The store is unreachable. */
    STORE_LOST(5101, Level.WARNING),
    /** The store is reachable again. */
    STORE_REGAINED(5102, Level.INFO),
    /** The store cache was loaded from a peer. */
    MIRROR_RELAYED(5103, Level.INFO),
    /** The store's change history was lost, and all items were read again. */
    MIRROR_RELOADED(5104, Level.INFO),
    /** The store responds, but nobody confirms that the store cache is complete. */
    MIRROR_UNCONFIRMED(5105, Level.WARNING),
    /** The store cache is confirmed again, or the store no longer responds. */
    MIRROR_CONFIRMED(5106, Level.INFO),
    /** The copy has a revision that the store has not reached, so it is replaced by all items of the store. */
    MIRROR_AHEAD(5107, Level.WARNING),
    /** The reads and watches of the store stalled and were started again. */
    STORE_CALLS_RESTARTED(5108, Level.WARNING),
    /** A relay of the broadcast did not acknowledge it, and another instance takes its place, or none. */
    RELAY_REPLACED(5121, Level.WARNING),
    /** The relay of this data centre did not answer an exchange of observations. */
    OBSERVATIONS_LOST(5122, Level.WARNING),
    /** Observations are exchanged again. */
    OBSERVATIONS_REGAINED(5123, Level.INFO),
    /** The store was restored from an older copy and has lost acknowledged writes. */
    STORE_RESTORED(5109, Level.WARNING),
    /** Something that the restored store has lost stays in force until its owner has written it again. */
    LOST_WRITE_KEPT(5110, Level.INFO),
    /** A new version of the configuration is in force. */
    CONFIGURATION_IN_FORCE(5201, Level.INFO),
    /** A store item is invalid and is ignored. */
    ITEM_UNREADABLE(5202, Level.WARNING),
    /** The evacuation of a data centre began or ended: it is to get no more requests, or may get them again. */
    EVACUATION_CHANGED(5203, Level.INFO),
    /** A target joined, changed or left. */
    TARGET_CHANGED(5204, Level.INFO),
    /** The instances of the fleet changed. */
    MEMBERS_CHANGED(5205, Level.INFO),
    /** A part of the configuration is invalid; it is not served or takes a strict value. */
    CONFIGURATION_PART_UNREADABLE(5206, Level.WARNING),
    /** A target said in a response, or to another instance, that it is leaving. */
    TARGET_LEAVING(5207, Level.INFO),
    /** This instance became the leader. */
    LEADERSHIP_TAKEN(5301, Level.INFO),
    /** This instance is no longer the leader. */
    LEADERSHIP_ENDED(5302, Level.WARNING),
    /** Another instance became the leader. */
    LEADER_CHANGED(5303, Level.INFO),
    /** The key table of a pool was written. */
    KEYS_PLANNED(5304, Level.INFO),
    /** A key range was moved to its new holder. */
    KEYS_MOVED(5305, Level.INFO),
    /** A target does not respond to ownership requests. */
    HOLDER_SILENT(5306, Level.WARNING),
    /** A target has seen a higher epoch. */
    HOLDER_FENCED(5307, Level.WARNING),
    /** A call to the store failed. */
    STORE_CALL_FAILED(5308, Level.WARNING),
    /** The term of a former leader is known to have ended before its lease expired. */
    FORMER_LEADER_ENDED(5309, Level.INFO),
    /** The leader has shown that its lease exists in a restored store, and leads on. */
    LEADERSHIP_PROVEN(5310, Level.INFO),
    /** The key table of a pool was written again to a restored store. */
    KEYS_WRITTEN_AGAIN(5311, Level.INFO),
    /** Grants of a target go on under a higher epoch, since they are sent on another connection. */
    HOLDER_RECONNECTED(5312, Level.INFO),
    /** A request was refused. */
    REQUEST_REFUSED(5401, Level.INFO),
    /** A request was retried or hedged. */
    REQUEST_REPEATED(5402, Level.INFO),
    /** A request failed, and it is unknown whether it ran. */
    REQUEST_FAILED(5403, Level.WARNING),
    /** A caller disconnected before it received a response. */
    CALLER_LEFT(5404, Level.INFO),
    /** A server sent bytes that belong to no request, or can't be told from such bytes. */
    UNSOLICITED_BYTES(5405, Level.WARNING),
    /** An operator ordered a roll-out or withdrew its order. */
    ROLLOUT_ORDERED(5501, Level.INFO),
    /** A roll-out was taken up, or its share of the requests changed. */
    ROLLOUT_ADVANCED(5502, Level.INFO),
    /** A roll-out was completed. */
    ROLLOUT_COMPLETED(5503, Level.INFO),
    /** A version was rolled back. */
    ROLLOUT_ROLLED_BACK(5504, Level.WARNING),
    /** A pool has begun to refuse requests for lack of room. */
    POOL_ROOM_EXHAUSTED(5411, Level.INFO),
    /** A pool that refused requests for lack of room has refused none for a while. */
    POOL_ROOM_REGAINED(5412, Level.INFO),
    /** Lines were suppressed by the rate limit of their event. */
    LINES_LEFT_OUT(5901, Level.WARNING),
    /** A task failed because of a defect in the program; its later runs are not affected. */
    TASK_FAILED(5902, Level.ERROR);

    private final int number;
    private final Level level;

    RouterEvent(int number, Level level) {
        this.number = number;
        this.level = level;
    }

    /**
     * Returns the code under which the event is documented.
     *
     * @return the code, such as SW-5001
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
     * Returns the name of the event as logged.
     *
     * @return the name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
