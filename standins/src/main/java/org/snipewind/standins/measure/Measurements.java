package org.snipewind.standins.measure;

import java.util.List;
import java.util.Optional;
import org.snipewind.standins.deployment.DeploymentPlan;

/** Registry of all measurements. */
public final class Measurements {

    private static final List<Measurement> ALL = List.of(
            new OverheadMeasurement(),
            new ThroughputMeasurement(),
            new ControlMeasurement(),
            new StoreLoadMeasurement(),
            new ConfigurationMeasurement(),
            new ScaleMeasurement(),
            new RecoveryMeasurement(),
            new ExclusiveOwnershipMeasurement(),
            new BalanceMeasurement(),
            new RecordsMeasurement(),
            new SelectionMeasurement(),
            new TrafficMeasurement("stragglers", DeploymentPlan.VOCES_DEL_PLATA, false, StragglersMeasurement::run),
            new TrafficMeasurement("fairness", DeploymentPlan.JALSETU, true, FairnessMeasurement::run),
            new TrafficMeasurement("limits", DeploymentPlan.VOCES_DEL_PLATA, false, LimitsMeasurement::run),
            new TrafficMeasurement("cold-start", DeploymentPlan.VOCES_DEL_PLATA, false, ColdStartMeasurement::run),
            new TrafficMeasurement(
                    "data-center-out", DeploymentPlan.VOCES_DEL_PLATA, false, DataCentreOutMeasurement::run),
            new TrafficMeasurement("at-most-once", DeploymentPlan.VOCES_DEL_PLATA, false, AtMostOnceMeasurement::run));

    private Measurements() {}

    /**
     * Returns all measurements.
     *
     * @return the measurements in the order in which they run
     */
    public static List<Measurement> all() {
        return ALL;
    }

    /**
     * Finds a measurement by name.
     *
     * @param name its name
     * @return the measurement, or empty if there is none
     */
    public static Optional<Measurement> find(String name) {
        return ALL.stream()
                .filter(measurement -> measurement.name().equals(name))
                .findFirst();
    }
}
