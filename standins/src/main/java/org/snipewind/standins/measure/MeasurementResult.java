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
 * @param target value that is wanted, empty if there is none
 * @param met whether the value meets the target, empty if there is none
 */
public record MeasurementResult(
        String name,
        String deployment,
        String variant,
        String unit,
        double value,
        Optional<Double> target,
        Optional<Boolean> met) {

    /** Variant of the figures against which the others are compared. */
    public static final String BASELINE = "baseline";

    /**
     * Creates a figure without a target value.
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
     * Creates a figure that should not exceed a target value.
     *
     * @param name what was measured
     * @param deployment name of the sample deployment
     * @param variant baseline or name of the variant
     * @param unit unit of the value
     * @param value the figure
     * @param target largest value that is wanted
     * @return the result
     */
    public static MeasurementResult atMost(
            String name, String deployment, String variant, String unit, double value, double target) {
        return new MeasurementResult(
                name, deployment, variant, unit, value, Optional.of(target), Optional.of(value <= target));
    }

    /**
     * Writes the result as one line.
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
        fields.put("target", target.orElse(null));
        fields.put("met", met.orElse(null));
        return new String(JsonCodec.encode(fields), StandardCharsets.UTF_8);
    }
}
