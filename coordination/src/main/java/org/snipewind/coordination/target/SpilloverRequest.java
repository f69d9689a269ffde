package org.snipewind.coordination.target;

import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RouteKind;

/**
 * What determines whether a request may leave the data centre of its instance.
 *
 * @param pool name of the pool
 * @param route name of the route
 * @param objectiveMillis time that is left of the latency objective, negative if it has passed
 * @param deadlineMillis time that is left until the deadline
 * @param largeBody whether the request or its response is large
 * @param repeated whether an earlier attempt was sent to a target
 */
public record SpilloverRequest(
        String pool, String route, double objectiveMillis, double deadlineMillis, boolean largeBody, boolean repeated) {

    /** Size from which a body is too expensive to cross between data centres for a shorter response time. */
    private static final long LARGE_BODY_BYTES = 16 * 1024;

    /**
     * Describes a request.
     *
     * @param pool the pool that serves it
     * @param route its route
     * @param elapsedMillis time since its arrival
     * @param deadlineMillis time that is left until the deadline
     * @param bodyBytes size of its body
     * @param repeated whether an earlier attempt was sent to a target
     * @return the description
     */
    public static SpilloverRequest of(
            Pool pool, Route route, long elapsedMillis, long deadlineMillis, long bodyBytes, boolean repeated) {
        return new SpilloverRequest(
                pool.name(),
                route.name(),
                route.latencyObjectiveMillis() - elapsedMillis,
                deadlineMillis,
                route.kind() == RouteKind.LARGE_RESPONSE
                        || route.kind() == RouteKind.LARGE_REQUEST
                        || bodyBytes >= LARGE_BODY_BYTES,
                repeated);
    }
}
