package org.snipewind.daemon.settings;

/** Reports settings with which the daemon can't start. */
public final class SettingsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file settings file
     * @param field path of the field
     * @param expected what was expected
     */
    public SettingsException(String file, String field, String expected) {
        super(file + ": " + field + ": " + expected);
    }
}
