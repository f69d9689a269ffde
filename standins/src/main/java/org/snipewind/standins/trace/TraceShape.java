package org.snipewind.standins.trace;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What a generated trace looks like.
 *
 * @param organisations load by organisation
 * @param routes load by route
 * @param entries number of entry instances
 * @param entryFallOff ratio of the load of one entry instance to that of the one before; 1 for an even load
 * @param durationMillis time from the first to the last arrival
 */
public record TraceShape(
        List<OrganisationLoad> organisations,
        List<RouteLoad> routes,
        int entries,
        double entryFallOff,
        long durationMillis) {

    /** Copies the lists. */
    public TraceShape {
        organisations = List.copyOf(organisations);
        routes = List.copyOf(routes);
    }

    /**
     * Changes the rate of each organisation.
     *
     * @param factor gives the factor of an organisation's rate
     * @return the changed shape
     */
    public TraceShape scaled(ToDoubleFunction<String> factor) {
        List<OrganisationLoad> scaled = organisations.stream()
                .map(load ->
                        new OrganisationLoad(load.name(), load.requestsPerSecond() * factor.applyAsDouble(load.name())))
                .toList();
        return new TraceShape(scaled, routes, entries, entryFallOff, durationMillis);
    }

    /**
     * Changes the duration.
     *
     * @param millis new duration
     * @return the changed shape
     */
    public TraceShape lasting(long millis) {
        return new TraceShape(organisations, routes, entries, entryFallOff, millis);
    }

    /**
     * Changes how the load is spread over the entry instances.
     *
     * @param fallOff ratio of the load of one entry instance to that of the one before
     * @return the changed shape
     */
    public TraceShape withEntryFallOff(double fallOff) {
        return new TraceShape(organisations, routes, entries, fallOff, durationMillis);
    }

    /**
     * Keeps only some routes.
     *
     * @param kept routes that receive all requests, by the ratio of their shares
     * @return the changed shape
     */
    public TraceShape withRoutes(List<RouteLoad> kept) {
        return new TraceShape(organisations, kept, entries, entryFallOff, durationMillis);
    }
}
