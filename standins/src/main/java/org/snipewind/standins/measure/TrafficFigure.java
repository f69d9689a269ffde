package org.snipewind.standins.measure;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One figure of a replayed trace.
 *
 * @param variant variant that was measured: the router as it is, or a baseline
 * @param name name of the value with its unit, followed by the goal in brackets if there is one
 * @param value the value
 */
public record TrafficFigure(String variant, String name, double value) {

    private static final Pattern NAME_WITH_GOAL = Pattern.compile("^(.*?) \\[([0-9.]+)\\]$");

    /**
     * Returns the goal.
     *
     * @return the value in brackets at the end of the name, or empty if there is none
     */
    public Optional<Double> goal() {
        Matcher matcher = NAME_WITH_GOAL.matcher(name);
        return matcher.matches() ? Optional.of(Double.valueOf(matcher.group(2))) : Optional.empty();
    }

    /**
     * Returns the name without the goal.
     *
     * @return name and unit of the value
     */
    public String label() {
        Matcher matcher = NAME_WITH_GOAL.matcher(name);
        return matcher.matches() ? matcher.group(1) : name;
    }
}
