package org.snipewind.daemon.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;

/** Chooses the form of the log lines. */
public final class LogFormat {

    private static final String PROPERTY = "snipewind.log.format";

    private LogFormat() {}

    /**
     * Sets the form of all further lines.
     *
     * <p>The YAML parser that reads the settings has a logger, so the back end is set up before the settings are known
     * and has to be set up again.
     *
     * @param text whether lines are text instead of JSON
     */
    public static void apply(boolean text) {
        System.setProperty(PROPERTY, text ? "text" : "json");
        if (!(LoggerFactory.getILoggerFactory() instanceof LoggerContext context)) {
            return;
        }
        context.reset();
        try {
            new ContextInitializer(context).autoConfig();
        } catch (JoranException e) {
            throw new IllegalStateException("the program's own log configuration can't be read", e);
        }
    }
}
