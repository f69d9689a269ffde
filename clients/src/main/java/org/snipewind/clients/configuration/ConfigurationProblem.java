package org.snipewind.clients.configuration;

/**
 * A problem found in a configuration folder.
 *
 * @param file name of the file, or path of the folder if the problem concerns no single file
 * @param line line in the file counted from 1, or 0 if the problem concerns no single line
 * @param field path of the field, whose segments are joined by dots; empty if the problem concerns no single field
 * @param message what is wrong and what is expected
 */
public record ConfigurationProblem(String file, int line, String field, String message) {

    /**
     * Formats the problem as one line.
     *
     * @return file, line, field and message
     */
    @Override
    public String toString() {
        return file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + message;
    }
}
