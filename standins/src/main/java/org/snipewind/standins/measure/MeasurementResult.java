package org.snipewind.standins.measure;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewind.clients.transport.JsonCodec;

/**
 * One measured figure.
 *
 * @param name what was measured
 * @param deployment name of the sample deployment
 * @param variant {@code baseline} or the name of the variant
 * @param unit unit of the value
 * @param value the figure
 * @param goal value to be reached, printed as {@code target}; empty if there is none
 * @param goalMet whether the value meets the goal, printed as {@code met}; empty if there is no goal
 */
public record MeasurementResult(
        String name,
        String deployment,
        String variant,
        String unit,
        double value,
        Optional<Double> goal,
        Optional<Boolean> goalMet) {

    /** Variant of the figures against which the others are compared. */
    public static final String BASELINE = "baseline";

    /**
     * Creates a figure without a goal.
     *
     * @param name what was measured
     * @param deployment name of the sample deployment
     * @param variant baseline or name of the variant
     * @param unit unit of the value
     * @param value the figure
     * @return the result
     */
    public static MeasurementResult of(String name, String deployment, String variant, String unit, double value) {
        return new MeasurementResult(name, deployment, variant, unit, value, Optional.empty(), Optional.empty());
    }

    /**
     * Creates a figure whose goal is a maximum.
     *
     * @param name what was measured
     * @param deployment name of the sample deployment
     * @param variant baseline or name of the variant
     * @param unit unit of the value
     * @param value the figure
     * @param goal largest value that meets the goal
     * @return the result
     */
    public static MeasurementResult atMost(
            String name, String deployment, String variant, String unit, double value, double goal) {
        return new MeasurementResult(
                name, deployment, variant, unit, value, Optional.of(goal), Optional.of(value <= goal));
    }

    /**
     * Formats the result as one line.
     *
     * @return a JSON object
     */
    public String toJson() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("deployment", deployment);
        fields.put("variant", variant);
        fields.put("unit", unit);
        fields.put("value", Math.round(value * 1_000) / 1_000.0);
        fields.put("target", goal.orElse(null));
        fields.put("met", goalMet.orElse(null));
        return new String(JsonCodec.encode(fields), StandardCharsets.UTF_8);
    }
}
