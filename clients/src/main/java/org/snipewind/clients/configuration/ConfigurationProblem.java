package org.snipewind.clients.configuration;

/**
 * A mistake in a configuration folder.
 *
 * @param file name of the file, or of the folder if no single file is at fault
 * @param line line in the file counted from 1, or 0 if no line is at fault
 * @param field path of the field, its parts joined by dots
 * @param message what is wrong and what is expected
 */
public record ConfigurationProblem(String file, int line, String field, String message) {

    /**
     * Renders the problem on one line.
     *
     * @return file, line, field and message
     */
    @Override
    public String toString() {
        return file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + message;
    }
}
