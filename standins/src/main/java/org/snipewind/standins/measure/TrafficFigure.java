package org.snipewind.standins.measure;

import java.util.Locale;

/**
 * One measured value.
 *
 * @param variant what was run: the router as it is, or a baseline
 * @param name what the value is, with its unit
 * @param value the value
 */
public record TrafficFigure(String variant, String name, double value) {

    /**
     * Formats the figure.
     *
     * @return one line
     */
    public String line() {
        return String.format(Locale.ROOT, "%-28s %-60s %.3f", variant, name, value);
    }
}
