package org.snipewind.standins.trace;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Parameters of a generated trace.
 *
 * @param organisations load by organisation
 * @param routes load by route
 * @param entryInstances number of entry instances
 * @param entryLoadRatio ratio of the load of each entry instance to that of the previous one; 1 for an even load
 * @param durationMillis time span of the arrivals
 */
public record TraceShape(
        List<OrganisationLoad> organisations,
        List<RouteLoad> routes,
        int entryInstances,
        double entryLoadRatio,
        long durationMillis) {

    /** Makes unmodifiable copies of the lists. */
    public TraceShape {
        organisations = List.copyOf(organisations);
        routes = List.copyOf(routes);
    }

    /**
     * Returns a shape with the rate of each organisation scaled.
     *
     * @param factor returns the factor for the rate of the organisation with a name
     * @return the changed shape
     */
    public TraceShape withScaledRates(ToDoubleFunction<String> factor) {
        List<OrganisationLoad> scaled = organisations.stream()
                .map(load ->
                        new OrganisationLoad(load.name(), load.requestsPerSecond() * factor.applyAsDouble(load.name())))
                .toList();
        return new TraceShape(scaled, routes, entryInstances, entryLoadRatio, durationMillis);
    }

    /**
     * Returns a shape with another duration.
     *
     * @param millis new duration
     * @return the changed shape
     */
    public TraceShape withDurationMillis(long millis) {
        return new TraceShape(organisations, routes, entryInstances, entryLoadRatio, millis);
    }

    /**
     * Returns a shape with another distribution of the load over the entry instances.
     *
     * @param loadRatio ratio of the load of each entry instance to that of the previous one
     * @return the changed shape
     */
    public TraceShape withEntryLoadRatio(double loadRatio) {
        return new TraceShape(organisations, routes, entryInstances, loadRatio, durationMillis);
    }

    /**
     * Returns a shape with other routes.
     *
     * @param newRoutes routes that receive all requests, in proportion to their weights
     * @return the changed shape
     */
    public TraceShape withRoutes(List<RouteLoad> newRoutes) {
        return new TraceShape(organisations, newRoutes, entryInstances, entryLoadRatio, durationMillis);
    }
}
