package org.snipewind.router;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.path.ExplainedRequest;
import org.snipewind.router.path.RouteExplanation;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.StoreCache;

/** The page that explains to operators where a request would be sent now. */
final class ExplainRoutePage {

    private static final String PATH = "/explain-route";

    /** Age from which a view counts as out of contact; the leader confirms the copy of the store every 0.4 s. */
    private static final long MAX_CONTACT_AGE_MILLIS = 2_000;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    private final Function<ExplainedRequest, CompletableFuture<RouteExplanation>> explainer;
    private final FleetTracker tracker;
    private final StoreCache storeCache;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final String instanceName;
    private volatile Optional<RoutingConfiguration> configuration = Optional.empty();
    private volatile long configurationSinceMillis;

    ExplainRoutePage(
            Function<ExplainedRequest, CompletableFuture<RouteExplanation>> explainer,
            FleetTracker tracker,
            StoreCache storeCache,
            MillisClock clock,
            RouterEventLog log,
            String instanceName) {
        this.explainer = explainer;
        this.tracker = tracker;
        this.storeCache = storeCache;
        this.clock = clock;
        this.log = log;
        this.instanceName = instanceName;
        tracker.addObserver(this::onViewChanged);
    }

    private void onViewChanged() {
        Optional<RoutingConfiguration> current = tracker.view().configuration();
        if (!current.map(RoutingConfiguration::version).equals(configuration.map(RoutingConfiguration::version))) {
            configurationSinceMillis = clock.nowMillis();
        }
        configuration = current;
    }

    /** Returns the page for a request target, empty if it is another one's. */
    Optional<CompletableFuture<TextServer.Page>> serve(String uri) {
        QueryStringDecoder decoder = new QueryStringDecoder(uri);
        if (!decoder.path().equals(PATH)) {
            return Optional.empty();
        }
        return Optional.of(ExplainRouteQuery.parse(decoder.parameters())
                .fold(
                        problem -> CompletableFuture.completedFuture(new TextServer.Page(BAD_REQUEST, problem + "\n")),
                        this::explain));
    }

    private CompletableFuture<TextServer.Page> explain(ExplainRouteQuery query) {
        return explainer
                .apply(query.request())
                .thenApply(explanation -> page(explanation, query.json()))
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        log.write(RouterEvent.TASK_FAILED, () -> "task=explanation of a route cause=" + failure);
                    }
                });
    }

    private TextServer.Page page(RouteExplanation explanation, boolean json) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("instance", instanceName);
        fields.put("view", describeView());
        fields.putAll(explanation.fields());
        RouteExplanation complete = new RouteExplanation(fields);
        try {
            return new TextServer.Page(OK, json ? JSON.std.asString(complete.fields()) + "\n" : complete.text());
        } catch (IOException failure) {
            throw new UncheckedIOException("explanation can't be written as JSON", failure);
        }
    }

    private Map<String, Object> describeView() {
        Map<String, Object> fields = new LinkedHashMap<>();
        tracker.view().configuration().ifPresent(current -> {
            fields.put("configurationVersion", current.version());
            fields.put("configurationAgeMillis", clock.nowMillis() - configurationSinceMillis);
        });
        long ageMillis = storeCache.ageMillis();
        boolean confirmed = ageMillis < Long.MAX_VALUE;
        if (confirmed) {
            fields.put("ageMillis", ageMillis);
        }
        fields.put("inContact", ageMillis <= MAX_CONTACT_AGE_MILLIS);
        if (ageMillis > MAX_CONTACT_AGE_MILLIS) {
            fields.put(
                    "warning",
                    confirmed
                            ? "out of contact, this view is " + ageMillis + " ms old"
                            : "out of contact, this view was never confirmed");
        }
        return fields;
    }
}
