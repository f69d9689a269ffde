package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RouteKind;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.router.port.RequestHeaders;

/** Finds the route, organisation and pool of a request, or the reason why it is refused at once. */
final class RequestClassifier {

    /** Time after which callers should retry if this instance is not ready or out of memory. */
    static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

    /**
     * What the configuration says of a request.
     *
     * @param route the route
     * @param pool the pool, chosen by the weights of the route
     * @param organisation the organisation whose key the request has, empty on a route that is open to all
     * @param urgencyRank number of less urgent priorities that requests to the pool can have
     */
    record Classification(Route route, Pool pool, Optional<Organisation> organisation, int urgencyRank) {

        /** Returns the time that a request may take: that of its route, or that for which its caller waits. */
        long allowedMillis(RequestHeaders headers) {
            return Math.min(route.timeoutMillis(), headers.remainingMillis().orElse(Long.MAX_VALUE));
        }
    }

    /**
     * A refusal before the request has been admitted.
     *
     * @param kind error kind for the caller
     * @param retryAfterMillis time after which the caller should retry, 0 if a retry can't succeed
     * @param detail reason, for the log
     */
    record EarlyRefusal(ErrorKind kind, long retryAfterMillis, String detail) {}

    private final RoutingContext context;

    RequestClassifier(RoutingContext context) {
        this.context = context;
    }

    Either<EarlyRefusal, Classification> classify(CallerRequest request, RequestHeaders headers) {
        return classify(request, headers, ThreadLocalRandom.current().nextDouble());
    }

    /** Classifies a request with the given draw of its pool, from 0 (inclusive) to 1 (exclusive). */
    Either<EarlyRefusal, Classification> classify(CallerRequest request, RequestHeaders headers, double poolDraw) {
        Optional<RoutingConfiguration> inForce = context.tracker().view().configuration();
        if (inForce.isEmpty()) {
            return refuse(ErrorKind.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS, "no configuration");
        }
        RoutingConfiguration configuration = inForce.get();
        Optional<Route> route = configuration.route(request.headers().get("Host", ""), request.path());
        return route.isEmpty()
                ? refuse(ErrorKind.ROUTE_UNKNOWN, 0, "version=" + configuration.version())
                : classify(route.get(), configuration, headers, poolDraw);
    }

    private Either<EarlyRefusal, Classification> classify(
            Route route, RoutingConfiguration configuration, RequestHeaders headers, double poolDraw) {
        Optional<Organisation> organisation = headers.organisationKey().flatMap(configuration::organisationOf);
        boolean accessKeyRequired = !route.anonymous() && configuration.isKeyRequired();
        if (accessKeyRequired && organisation.isEmpty()) {
            return refuse(ErrorKind.KEY_REJECTED, 0, "route=" + route.name() + " version=" + configuration.version());
        }
        if (organisation.filter(Organisation::suspended).isPresent()) {
            return refuse(
                    ErrorKind.BUDGET_UNAVAILABLE,
                    NOT_READY_RETRY_AFTER_MILLIS,
                    "limit of the organisation is unknown organisation="
                            + organisation.get().name());
        }
        Optional<Pool> pool = route.poolFor(poolDraw).flatMap(configuration::pool);
        if (pool.isEmpty()) {
            return refuse(
                    ErrorKind.POOL_UNAVAILABLE,
                    TargetResolver.POOL_RETRY_AFTER_MILLIS,
                    "pool is not configured route=" + route.name());
        }
        if (pool.get().keyed() && headers.shardKey().isEmpty()) {
            return refuse(
                    ErrorKind.REQUEST_KEY_MISSING,
                    0,
                    "route=" + route.name() + " pool=" + pool.get().name());
        }
        if (route.kind() == RouteKind.LARGE_RESPONSE && context.responseMemory().isExhausted()) {
            return refuse(
                    ErrorKind.DAEMON_BYTES_LIMIT,
                    NOT_READY_RETRY_AFTER_MILLIS,
                    "responses wait for memory route=" + route.name());
        }
        int priority = organisation
                .flatMap(holder -> holder.priority().stream().boxed().findFirst())
                .orElse(route.priority());
        return Either.right(new Classification(
                route,
                pool.get(),
                organisation,
                configuration.urgencyRank(pool.get().name(), priority)));
    }

    private static Either<EarlyRefusal, Classification> refuse(ErrorKind kind, long retryAfterMillis, String detail) {
        return Either.left(new EarlyRefusal(kind, retryAfterMillis, detail));
    }
}
