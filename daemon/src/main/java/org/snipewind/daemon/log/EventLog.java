package org.snipewind.daemon.log;

/** Writes numbered events through the platform's logger. */
public final class EventLog {

    private final System.Logger logger;
    private final String daemonName;

    /**
     * Creates a log.
     *
     * @param daemonName instance name that each line carries
     */
    public EventLog(String daemonName) {
        this.logger = System.getLogger("org.snipewind.daemon");
        this.daemonName = daemonName;
    }

    /**
     * Writes an event.
     *
     * @param event the event
     * @param detail what happened, without secrets
     */
    public void write(LogEvent event, String detail) {
        logger.log(event.level(), () -> line(event, detail));
    }

    /**
     * Writes an event with its cause.
     *
     * @param event the event
     * @param detail what happened, without secrets
     * @param cause the failure
     */
    public void write(LogEvent event, String detail, Throwable cause) {
        logger.log(event.level(), () -> line(event, detail), cause);
    }

    private String line(LogEvent event, String detail) {
        return event.code() + " " + event.wireName() + " " + daemonName + ": " + detail;
    }
}
