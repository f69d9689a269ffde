package org.snipewind.standins.measure;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One measured value.
 *
 * @param variant what was run: the router as it is, or a baseline
 * @param name what the value is, with its unit, and the target value in brackets if there is one
 * @param value the value
 */
public record TrafficFigure(String variant, String name, double value) {

    // The target value stands in brackets at the end of the name.
    private static final Pattern TARGET = Pattern.compile("^(.*?) \\[([0-9.]+)\\]$");

    /**
     * Gives the target value.
     *
     * @return the value in brackets at the end of the name, or empty if there is none
     */
    public Optional<Double> target() {
        Matcher matcher = TARGET.matcher(name);
        return matcher.matches() ? Optional.of(Double.valueOf(matcher.group(2))) : Optional.empty();
    }

    /**
     * Gives the name without the target value.
     *
     * @return what the value is
     */
    public String label() {
        Matcher matcher = TARGET.matcher(name);
        return matcher.matches() ? matcher.group(1) : name;
    }
}
