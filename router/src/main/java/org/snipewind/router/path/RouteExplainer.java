package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.admission.AdmissionRequest;
import org.snipewind.coordination.admission.QueueAllowance;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.coordination.routing.PoolShare;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.target.SpilloverRequest;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.port.RequestHeaders;

/**
 * Explains where a request would be sent now, with the decisions that {@link RoutedRequest} uses. Changes no state.
 * Confined to the worker's event loop.
 */
final class RouteExplainer {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String OUTCOME = "outcome";

    private final Worker worker;
    private final RoutingContext context;

    RouteExplainer(Worker worker) {
        this.worker = worker;
        this.context = worker.context();
    }

    RouteExplanation explain(ExplainedRequest explained) {
        CallerRequest request =
                new CallerRequest(explained.method(), explained.path(), explained.headers(), RequestBody.empty());
        RequestHeaders read = context.headerCodec().readRequest(request.headers());
        RequestHeaders headers = explained.key().isEmpty()
                ? read
                : new RequestHeaders(read.requestId(), read.remainingMillis(), read.organisationKey(), explained.key());
        Map<String, Object> fields = new LinkedHashMap<>();
        if (worker.isOverloaded()) {
            addRefusal(
                    fields,
                    ErrorKind.DAEMON_REQUESTS_LIMIT,
                    RequestClassifier.NOT_READY_RETRY_AFTER_MILLIS,
                    "event loop is overloaded");
            return new RouteExplanation(fields);
        }
        List<Map<String, Object>> pools = new ArrayList<>();
        for (double draw : poolDraws(request)) {
            Map<String, Object> pool = new LinkedHashMap<>();
            worker.classifier()
                    .classify(request, headers, draw)
                    .peek(classification -> addClassified(fields, pool, classification, headers))
                    .peekLeft(
                            refusal -> addRefusal(pool, refusal.kind(), refusal.retryAfterMillis(), refusal.detail()));
            pools.add(pool);
        }
        fields.put("pool", pools);
        return new RouteExplanation(fields);
    }

    /** Returns a draw for each pool of the route, so that each of them is explained. */
    private List<Double> poolDraws(CallerRequest request) {
        List<PoolShare> shares = context.tracker()
                .view()
                .configuration()
                .flatMap(configuration -> configuration.route(request.headers().get("Host", ""), request.path()))
                .map(Route::shares)
                .orElse(List.of());
        double totalWeight = shares.stream().mapToDouble(PoolShare::weight).sum();
        List<Double> draws = new ArrayList<>();
        double before = 0;
        for (PoolShare share : shares) {
            if (share.weight() > 0) {
                draws.add((before + share.weight() / 2) / totalWeight);
            }
            before += share.weight();
        }
        return draws.isEmpty() ? List.of(0.0) : draws;
    }

    private void addClassified(
            Map<String, Object> fields,
            Map<String, Object> pool,
            RequestClassifier.Classification classification,
            RequestHeaders headers) {
        Route route = classification.route();
        long allowedMillis = classification.allowedMillis(headers);
        fields.put("route", describeRoute(route));
        classification
                .organisation()
                .ifPresent(organisation -> fields.put("organisation", describeOrganisation(organisation)));
        fields.put("admission", describeAdmission(classification.organisation(), allowedMillis));
        pool.put("name", classification.pool().name());
        route.shares().stream()
                .filter(share -> share.pool().equals(classification.pool().name()))
                .findFirst()
                .ifPresent(share -> pool.put("weight", share.weight()));
        pool.put("keyed", classification.pool().keyed());
        if (!context.sharedState().mayStart(allowedMillis)) {
            addRefusal(
                    pool,
                    ErrorKind.SHUTTING_DOWN,
                    TargetResolver.POOL_RETRY_AFTER_MILLIS,
                    "allowed=" + allowedMillis + "ms");
            return;
        }
        long now = context.clock().nowMillis();
        QueueAllowance allowance = context.sharedState()
                .admission(classification.pool().name())
                .allowance(
                        new AdmissionRequest(
                                route.name(),
                                classification.urgencyRank(),
                                route.latencyObjectiveMillis(),
                                0,
                                now,
                                now + allowedMillis),
                        () -> describeHolder(classification, headers),
                        now);
        if (classification.pool().keyed()) {
            int key = headers.shardKey().getAsInt();
            addResult(pool, worker.targetResolver().explainOwner(classification.pool(), key, allowance), allowedMillis);
            pool.put("owner", describeOwner(classification.pool().name(), key));
        } else {
            SpilloverRequest spillover = SpilloverRequest.of(classification.pool(), route, 0, allowedMillis, 0, false);
            PoolExplanation explanation = worker.targetResolver()
                    .explainPool(classification.pool(), !route.idempotent(), allowance, spillover);
            addResult(pool, explanation.result(), allowedMillis);
            pool.put(
                    "candidate",
                    explanation.targets().stream()
                            .map(RouteExplainer::describeCandidate)
                            .toList());
        }
    }

    private String describeHolder(RequestClassifier.Classification classification, RequestHeaders headers) {
        return classification.pool().keyed()
                ? findAssignment(
                                classification.pool().name(), headers.shardKey().getAsInt())
                        .map(KeyAssignment::holder)
                        .orElse("")
                : "";
    }

    private static Map<String, Object> describeRoute(Route route) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", route.name());
        fields.put("kind", route.kind().name().toLowerCase(java.util.Locale.ROOT));
        fields.put("priority", route.priority());
        fields.put("timeoutMillis", route.timeoutMillis());
        fields.put("latencyObjectiveMillis", route.latencyObjectiveMillis());
        fields.put("maxAttempts", route.maxAttempts());
        return fields;
    }

    private static Map<String, Object> describeOrganisation(Organisation organisation) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", organisation.name());
        if (organisation.isLimited()) {
            fields.put("ratePerSecond", organisation.ratePerSecond());
            fields.put("burst", organisation.burst());
        }
        return fields;
    }

    private String describeAdmission(Optional<Organisation> organisation, long allowedMillis) {
        Optional<Organisation> limited = organisation.filter(Organisation::isLimited);
        if (limited.isEmpty()) {
            return "no rate limit";
        }
        return context.rateLimiter().wouldAdmitNow(limited.get())
                ? "a token is at hand"
                : "waits up to " + RoutedRequest.maxTokenWaitMillis(allowedMillis)
                        + " ms for a token of the issuer, and is refused as " + ErrorKind.RATE_EXCEEDED.wireName()
                        + " if there is none";
    }

    private void addResult(Map<String, Object> fields, Either<NoTarget, TargetState> result, long allowedMillis) {
        result.peek(target -> {
                    fields.put(OUTCOME, "send");
                    fields.put("target", target.registration().id());
                    fields.put("dataCentre", target.registration().dataCentre());
                })
                .peekLeft(noTarget -> {
                    long maxWaitMillis = TargetResolver.maxOwnerWaitMillis(allowedMillis);
                    boolean waits = noTarget.ownerExpectedMillis().isPresent()
                            && noTarget.ownerExpectedMillis().getAsLong() < maxWaitMillis;
                    addRefusal(fields, noTarget.kind(), noTarget.retryAfterMillis(), noTarget.detail());
                    noTarget.untilRoomMillis().ifPresent(millis -> addLackOfRoom(fields, millis));
                    if (waits) {
                        fields.put(OUTCOME, "wait");
                        fields.put("maxWaitMillis", maxWaitMillis);
                    }
                });
    }

    /** Adds that the request waits for room or is refused with the next free place, which only a refusal takes. */
    private static void addLackOfRoom(Map<String, Object> fields, double untilRoomMillis) {
        fields.put("roomExpectedAfterMillis", Math.round(untilRoomMillis));
        fields.put("retryAfter", "the next place that becomes free, promised at the refusal");
    }

    private static void addRefusal(Map<String, Object> fields, ErrorKind kind, long retryAfterMillis, String detail) {
        fields.put(OUTCOME, "refuse");
        fields.put("error", kind.wireName());
        fields.put("status", kind.status());
        if (retryAfterMillis > 0) {
            fields.put("retryAfterSeconds", retryAfterMillis / MILLIS_PER_SECOND);
        }
        fields.put("detail", detail);
    }

    private Map<String, Object> describeOwner(String pool, int key) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("key", key);
        findAssignment(pool, key).ifPresent(found -> {
            fields.put("holder", found.holder());
            fields.put("epoch", found.epoch());
            fields.put("firstKey", found.from());
            fields.put("lastKey", found.to());
            fields.put("moving", found.isMoving());
        });
        return fields;
    }

    private Optional<KeyAssignment> findAssignment(String pool, int key) {
        return context.tracker()
                .view()
                .keyTables()
                .getOrDefault(pool, KeyTable.EMPTY)
                .find(key);
    }

    private static Map<String, Object> describeCandidate(PoolExplanation.ExplainedTarget candidate) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("target", candidate.state().registration().id());
        fields.put("dataCentre", candidate.state().registration().dataCentre());
        fields.put("reason", candidate.reason());
        candidate.score().ifPresent(score -> fields.put("score", Math.round(score)));
        fields.put("expectedMillis", Math.round(candidate.expectedMillis()));
        fields.put("inFlight", candidate.state().inFlight());
        return fields;
    }
}
