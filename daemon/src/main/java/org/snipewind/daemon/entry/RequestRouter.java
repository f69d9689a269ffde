package org.snipewind.daemon.entry;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.RouteSettings;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.ownership.KeyHasher;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.router.metrics.ProcessMetrics;

/** Routes callers' requests: finds route, organisation and key, obtains a rate-limit token and starts the attempts. */
public final class RequestRouter {

    /** Time until the deadline of a request that specifies none. */
    public static final long DEFAULT_DEADLINE_MILLIS = 5_000;
    /** Maximum time until the deadline of a request; a longer one is shortened to it. */
    public static final long MAX_DEADLINE_MILLIS = 30_000;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final OrganisationDirectory organisations;
    private final TokenClient tokenClient;
    private final AttemptRunner attemptRunner;
    private final Readiness readiness;
    private final ProcessMetrics metrics;
    private final AtomicLong requestCount = new AtomicLong();

    /**
     * Creates a router.
     *
     * @param memberId id of this daemon, part of the request ids
     * @param clock the clock
     * @param records records of this daemon
     * @param organisations organisations by key
     * @param tokenClient obtains rate-limit tokens
     * @param attemptRunner runs the attempts of requests
     * @param readiness tells whether requests can be served at all
     * @param metrics metrics of this daemon
     */
    RequestRouter(
            String memberId,
            MillisClock clock,
            RecordCache records,
            OrganisationDirectory organisations,
            TokenClient tokenClient,
            AttemptRunner attemptRunner,
            Readiness readiness,
            ProcessMetrics metrics) {
        this.memberId = memberId;
        this.clock = clock;
        this.records = records;
        this.organisations = organisations;
        this.tokenClient = tokenClient;
        this.attemptRunner = attemptRunner;
        this.readiness = readiness;
        this.metrics = metrics;
    }

    /**
     * Routes a request to a target.
     *
     * @param request the request
     * @return its outcome, which can be cancelled
     */
    public PendingOutcome route(CallerRequest request) {
        Either<Refusal, RoutedRequest> prepared = prepare(request);
        if (prepared.isLeft()) {
            return PendingOutcome.refused(prepared.getLeft());
        }
        RoutedRequest routed = prepared.get();
        String budget =
                routed.organisation().isEmpty() ? BudgetNames.ofRoute(routed.routeName()) : routed.organisation();
        Optional<BudgetSettings> settings =
                records.configuration().flatMap(revision -> TokenIssuers.settingsOf(revision.configuration(), budget));
        if (settings.isEmpty()) {
            return PendingOutcome.refused(Refusal.of(ErrorKind.KEY_REJECTED, "the organisation was withdrawn"));
        }
        metrics.count("organisations." + budget + ".requests");
        tokenClient.acquire(budget, settings.get(), routed.deadlineMillis()).thenAccept(refusal -> {
            if (refusal.isPresent()) {
                metrics.count("organisations." + budget + ".refused");
                routed.result().complete(Either.left(refusal.get()));
            } else {
                metrics.count("organisations." + budget + ".admitted");
                attemptRunner.start(routed);
            }
        });
        return new PendingOutcome(routed.result(), () -> attemptRunner.cancel(routed));
    }

    private Either<Refusal, RoutedRequest> prepare(CallerRequest request) {
        Optional<Refusal> notReady = readiness.refusal();
        Optional<ConfigurationRevision> revision = records.configuration();
        if (notReady.isPresent() || revision.isEmpty()) {
            return Either.left(
                    notReady.orElseGet(() -> Refusal.of(ErrorKind.NOT_READY, "no configuration is known yet")));
        }
        FleetConfiguration configuration = revision.get().configuration();
        Optional<Map.Entry<String, RouteSettings>> route = RouteMatcher.findRoute(configuration, request.path());
        if (route.isEmpty()) {
            return Either.left(Refusal.of(ErrorKind.ROUTE_UNKNOWN, "no route has this path"));
        }
        return readDeadline(request).flatMap(deadline -> {
            if (!readiness.mayStart(clock.nowMillis(), deadline)) {
                return Either.left(Refusal.of(ErrorKind.SHUTTING_DOWN, "the daemon may end before the request would"));
            }
            return createRoutedRequest(request, route.get(), deadline);
        });
    }

    private Either<Refusal, RoutedRequest> createRoutedRequest(
            CallerRequest request, Map.Entry<String, RouteSettings> route, long deadlineMillis) {
        RouteSettings settings = route.getValue();
        String organisation = "";
        String digest = "";
        if (settings.openBudget().isEmpty()) {
            digest = CallerHeaders.organisationKey(request.headers())
                    .map(OrganisationDirectory::digest)
                    .orElse("");
            Optional<String> found = digest.isEmpty() ? Optional.empty() : organisations.organisationOf(digest);
            if (found.isEmpty()) {
                return Either.left(Refusal.of(ErrorKind.KEY_REJECTED, "a valid organisation key is needed"));
            }
            organisation = found.get();
        }
        OptionalInt slice = OptionalInt.empty();
        if (settings.key().isPresent()) {
            Optional<String> key = RouteMatcher.requestKey(settings.key().get(), request);
            if (key.isEmpty()) {
                return Either.left(Refusal.of(ErrorKind.REQUEST_KEY_MISSING, "the route needs a key in the request"));
            }
            slice = OptionalInt.of(KeyHasher.sliceOf(key.get()));
        }
        String id = memberId + "-" + requestCount.incrementAndGet();
        return Either.right(new RoutedRequest(id, request, route, organisation, digest, slice, deadlineMillis));
    }

    private Either<Refusal, Long> readDeadline(CallerRequest request) {
        try {
            OptionalLong remaining = CallerHeaders.deadlineMillis(request.headers());
            if (remaining.isPresent() && remaining.getAsLong() <= 0) {
                return Either.left(Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND, "the deadline has passed"));
            }
            long millis = Math.min(remaining.orElse(DEFAULT_DEADLINE_MILLIS), MAX_DEADLINE_MILLIS);
            return Either.right(clock.nowMillis() + millis);
        } catch (NumberFormatException e) {
            return Either.left(Refusal.of(
                    ErrorKind.MALFORMED_REQUEST, CallerHeaders.DEADLINE + " must be a whole number of milliseconds"));
        }
    }
}
