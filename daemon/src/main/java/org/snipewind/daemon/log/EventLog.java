package org.snipewind.daemon.log;

/** Writes log events with code, name and daemon to the system logger. */
public final class EventLog {

    private final System.Logger logger;
    private final String daemonName;

    /**
     * Creates a log.
     *
     * @param daemonName name of the daemon, included in each line
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
     * @param cause the exception
     */
    public void write(LogEvent event, String detail, Throwable cause) {
        logger.log(event.level(), () -> line(event, detail), cause);
    }

    private String line(LogEvent event, String detail) {
        return event.code() + " " + event.wireName() + " " + daemonName + ": " + detail;
    }
}
