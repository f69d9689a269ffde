package org.snipewind.standins.target;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantCodec;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.TargetHeaders;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.standins.server.StandInHandler;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/**
 * Stand-in for a target, which runs each request for the service time that the request states and records its
 * execution.
 *
 * <p>{@code PUT /control} sets {@link TargetFaults}, {@code POST /control/cold} puts it into cold start and {@code
 * POST /control/forget} makes it forget its grants, as after a restart. {@code GET /control} returns its report; {@code
 * GET /control/records} and {@code GET /control/grants} return, as JSON lines, its executions and the intervals during
 * which it held slices. {@code GET /snipewind/health} and {@code GET /snipewind/load} lag by the times in the options.
 */
public final class TargetStandIn implements StandInHandler, AutoCloseable {

    private final ScheduledExecutorService worker;
    private final TargetEngine engine;
    // Requests that arrived while the target was unresponsive; accessed by the worker only.
    private final List<Runnable> heldRequests = new ArrayList<>();

    /**
     * Creates a target without a grant.
     *
     * @param options fixed properties
     */
    public TargetStandIn(TargetOptions options) {
        this(options, new SystemMillisClock());
    }

    /** Creates a target whose deadlines, service times and grants follow the given clock. */
    TargetStandIn(TargetOptions options, MillisClock clock) {
        worker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "target " + options.name());
            thread.setDaemon(true);
            return thread;
        });
        engine = new TargetEngine(options, clock, worker);
    }

    /**
     * Replaces the faults.
     *
     * @param faults the new faults
     * @return completes when they have taken effect
     */
    public CompletableFuture<Void> setFaults(TargetFaults faults) {
        return CompletableFuture.runAsync(
                () -> {
                    engine.setFaults(faults);
                    if (!faults.silent()) {
                        List<Runnable> released = List.copyOf(heldRequests);
                        heldRequests.clear();
                        released.forEach(Runnable::run);
                    }
                },
                worker);
    }

    /**
     * Returns all executions.
     *
     * @return executions in the order of their start
     */
    public List<ExecutionRecord> executions() {
        return engine.recorder().executions();
    }

    /**
     * Returns all intervals during which the target held slices.
     *
     * @return the intervals, open ones last
     */
    public List<GrantInterval> grantIntervals() {
        return engine.recorder().grantIntervals();
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The stage passes its result on to the response.
    public CompletableFuture<StandInResponse> handle(StandInRequest request) {
        CompletableFuture<StandInResponse> response = new CompletableFuture<>();
        Runnable task = () -> respondTo(request).whenComplete((completedResponse, failure) -> {
            if (failure == null) {
                response.complete(completedResponse);
            } else {
                response.completeExceptionally(failure);
            }
        });
        worker.execute(() -> {
            if (engine.faults().silent() && !request.path().startsWith("/control")) {
                heldRequests.add(task);
            } else {
                task.run();
            }
        });
        return response;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    private CompletableFuture<StandInResponse> respondTo(StandInRequest request) {
        try {
            if (request.path().startsWith("/control")) {
                return control(request);
            }
            if (request.matches("PUT", TargetHeaders.GRANT_PATH)) {
                GrantAcknowledgement response = engine.grant(GrantCodec.decode(request.body(), GrantRequest.class));
                return completed(new StandInResponse(
                        200, Map.of("Content-Type", "application/json"), GrantCodec.encode(response)));
            }
            if (request.method().equals("DELETE") && request.path().startsWith(TargetHeaders.REQUESTS_PATH)) {
                engine.cancel(request.path().substring(TargetHeaders.REQUESTS_PATH.length()));
                return completed(StandInResponse.empty(204));
            }
            if (request.matches("GET", "/snipewind/health")) {
                return completed(StandInResponse.json(Map.of("healthy", engine.reportedHealth())));
            }
            if (request.matches("GET", "/snipewind/load")) {
                return completed(StandInResponse.json(Map.of("inProgress", engine.reportedLoad())));
            }
            return engine.submit(request);
        } catch (RuntimeException e) {
            return completed(StandInResponse.text(400, e.toString()));
        }
    }

    private CompletableFuture<StandInResponse> control(StandInRequest request) {
        return switch (request.method() + " " + request.path()) {
            case "GET /control" -> completed(StandInResponse.json(engine.report()));
            case "PUT /control" ->
                setFaults(JsonCodec.decode(request.body(), TargetFaults.class))
                        .thenApply(ignored -> StandInResponse.empty(204));
            case "POST /control/cold" -> {
                engine.startColdStart();
                yield completed(StandInResponse.empty(204));
            }
            case "POST /control/forget" -> {
                engine.forgetGrants();
                yield completed(StandInResponse.empty(204));
            }
            case "GET /control/records" -> completed(jsonLines(engine.recorder().executions()));
            case "GET /control/grants" -> completed(jsonLines(engine.recorder().grantIntervals()));
            default -> completed(StandInResponse.empty(404));
        };
    }

    private static StandInResponse jsonLines(List<?> values) {
        return new StandInResponse(
                200,
                Map.of("Content-Type", "application/x-ndjson"),
                ExecutionRecorder.jsonLines(values).getBytes(StandardCharsets.UTF_8));
    }

    private static CompletableFuture<StandInResponse> completed(StandInResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
