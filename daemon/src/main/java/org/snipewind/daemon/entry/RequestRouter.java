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
import org.snipewind.router.metrics.RouterMetrics;

/** Takes callers' requests: finds route, organisation and key, obtains a token and hands over to the attempts. */
public final class RequestRouter {

    /** Deadline of a request that names none. */
    public static final long STANDARD_DEADLINE_MILLIS = 5_000;
    /** Longest deadline that a request may name. */
    public static final long LONGEST_DEADLINE_MILLIS = 30_000;

    private final String memberId;
    private final MillisClock clock;
    private final RecordCache records;
    private final OrganisationDirectory organisations;
    private final TokenClient budgets;
    private final AttemptRunner attempts;
    private final Readiness readiness;
    private final RouterMetrics metrics;
    private final AtomicLong requests = new AtomicLong();

    /**
     * Creates a router.
     *
     * @param memberId id of this daemon, part of the request ids
     * @param clock the clock
     * @param records records of this daemon
     * @param organisations organisations by key
     * @param budgets obtains rate tokens
     * @param attempts sends requests
     * @param readiness whether requests may be served at all
     * @param metrics metrics of this daemon
     */
    RequestRouter(
            String memberId,
            MillisClock clock,
            RecordCache records,
            OrganisationDirectory organisations,
            TokenClient budgets,
            AttemptRunner attempts,
            Readiness readiness,
            RouterMetrics metrics) {
        this.memberId = memberId;
        this.clock = clock;
        this.records = records;
        this.organisations = organisations;
        this.budgets = budgets;
        this.attempts = attempts;
        this.readiness = readiness;
        this.metrics = metrics;
    }

    /**
     * Routes a request.
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
        budgets.acquire(budget, settings.get(), routed.deadlineMillis()).thenAccept(refusal -> {
            if (refusal.isPresent()) {
                metrics.count("organisations." + budget + ".refused");
                routed.result().complete(Either.left(refusal.get()));
            } else {
                metrics.count("organisations." + budget + ".admitted");
                attempts.start(routed);
            }
        });
        return new PendingOutcome(routed.result(), () -> attempts.cancel(routed));
    }

    private Either<Refusal, RoutedRequest> prepare(CallerRequest request) {
        Optional<Refusal> notReady = readiness.refusal();
        Optional<ConfigurationRevision> revision = records.configuration();
        if (notReady.isPresent() || revision.isEmpty()) {
            return Either.left(
                    notReady.orElseGet(() -> Refusal.of(ErrorKind.NOT_READY, "no configuration is known yet")));
        }
        FleetConfiguration configuration = revision.get().configuration();
        Optional<Map.Entry<String, RouteSettings>> route = RouteTable.find(configuration, request.path());
        if (route.isEmpty()) {
            return Either.left(Refusal.of(ErrorKind.ROUTE_UNKNOWN, "no route has this path"));
        }
        return readDeadline(request).flatMap(deadline -> identify(request, route.get(), deadline));
    }

    private Either<Refusal, RoutedRequest> identify(
            CallerRequest request, Map.Entry<String, RouteSettings> route, long deadlineMillis) {
        RouteSettings settings = route.getValue();
        String organisation = "";
        String digest = "";
        if (settings.openBudget().isEmpty()) {
            digest = CallerHeaders.key(request.headers())
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
            Optional<String> key = RouteTable.key(settings.key().get(), request);
            if (key.isEmpty()) {
                return Either.left(Refusal.of(ErrorKind.REQUEST_KEY_MISSING, "the route needs a key in the request"));
            }
            slice = OptionalInt.of(KeyHasher.sliceOf(key.get()));
        }
        String id = memberId + "-" + requests.incrementAndGet();
        return Either.right(new RoutedRequest(id, request, route, organisation, digest, slice, deadlineMillis));
    }

    private Either<Refusal, Long> readDeadline(CallerRequest request) {
        try {
            OptionalLong remaining = CallerHeaders.deadlineMillis(request.headers());
            if (remaining.isPresent() && remaining.getAsLong() <= 0) {
                return Either.left(Refusal.of(ErrorKind.DEADLINE_BEFORE_SEND, "the deadline has passed"));
            }
            long millis = Math.min(remaining.orElse(STANDARD_DEADLINE_MILLIS), LONGEST_DEADLINE_MILLIS);
            return Either.right(clock.nowMillis() + millis);
        } catch (NumberFormatException e) {
            return Either.left(Refusal.of(
                    ErrorKind.MALFORMED_REQUEST, CallerHeaders.DEADLINE + " must be a whole number of milliseconds"));
        }
    }
}
