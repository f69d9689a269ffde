package org.snipewind.daemon.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;

/** Sets the format of the log lines. */
public final class LogFormat {

    private static final String PROPERTY = "snipewind.log.format";

    private LogFormat() {}

    /**
     * Sets the format of all further lines.
     *
     * <p>The YAML parser that reads the settings has a logger, so Logback is configured before the settings are known
     * and has to be configured again.
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
            throw new IllegalStateException("the Logback configuration is invalid", e);
        }
    }
}
