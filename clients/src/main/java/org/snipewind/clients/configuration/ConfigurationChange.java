package org.snipewind.clients.configuration;

import java.util.Optional;

/**
 * One field that differs between two configurations.
 *
 * @param path path of the field, whose segments are joined by dots
 * @param before value in the older configuration, or empty if the field was absent
 * @param after value in the newer configuration, or empty if the field is absent
 */
public record ConfigurationChange(String path, Optional<String> before, Optional<String> after) {

    /**
     * Returns whether the change concerns a field, a field within it, or a field that contains it.
     *
     * @param field path of the field
     * @return true if the paths are equal or one lies within the other
     */
    public boolean touches(String field) {
        return path.equals(field) || path.startsWith(field + ".") || field.startsWith(path + ".");
    }

    /**
     * Formats the change as one line.
     *
     * @return path, old value and new value
     */
    @Override
    public String toString() {
        return path + ": " + before.orElse("(absent)") + " -> " + after.orElse("(absent)");
    }
}
