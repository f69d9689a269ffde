package org.snipewind.daemon.settings;

/** Thrown if the settings of the daemon are invalid. */
public final class SettingsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file name of the settings file
     * @param field path of the invalid field
     * @param expected description of what was expected
     */
    public SettingsException(String file, String field, String expected) {
        super(file + ": " + field + ": " + expected);
    }
}
