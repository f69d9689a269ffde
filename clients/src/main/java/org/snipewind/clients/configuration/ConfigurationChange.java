package org.snipewind.clients.configuration;

import java.util.Optional;

/**
 * One field that differs between two configurations.
 *
 * @param path path of the field, its parts joined by dots
 * @param before value in the older configuration, or empty if the field was not there
 * @param after value in the newer configuration, or empty if the field is gone
 */
public record ConfigurationChange(String path, Optional<String> before, Optional<String> after) {

    /**
     * Tells whether the change touches a field, a field within it, or a field that contains it.
     *
     * @param field path of the field
     * @return true if one path is equal to the other or lies within it
     */
    public boolean touches(String field) {
        return path.equals(field) || path.startsWith(field + ".") || field.startsWith(path + ".");
    }

    /**
     * Renders the change on one line.
     *
     * @return path, old value and new value
     */
    @Override
    public String toString() {
        return path + ": " + before.orElse("(absent)") + " -> " + after.orElse("(absent)");
    }
}
