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
import org.snipewind.clients.target.GrantOrder;
import org.snipewind.clients.target.TargetHeaders;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.standins.server.StandInHandler;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/**
 * A target that runs requests for as long as they ask and records each execution.
 *
 * <p>{@code PUT /control} sets {@link TargetFaults}, {@code POST /control/cold} starts a cold start, {@code POST
 * /control/forget} makes it forget its grants as after a restart; {@code GET /control}, {@code /control/records} and
 * {@code /control/grants} give its report and, as JSON lines, its executions and the times during which it held slices.
 * {@code GET /snipewind/health} and {@code /snipewind/load} lag as the options say.
 */
public final class TargetStandIn implements StandInHandler, AutoCloseable {

    private final ScheduledExecutorService worker;
    private final TargetEngine engine;
    // Requests that arrived while the target was silent; used by the worker only.
    private final List<Runnable> held = new ArrayList<>();

    /**
     * Creates a target without a grant.
     *
     * @param options fixed properties
     */
    public TargetStandIn(TargetOptions options) {
        worker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "target " + options.name());
            thread.setDaemon(true);
            return thread;
        });
        engine = new TargetEngine(options, new SystemMillisClock(), worker);
    }

    /**
     * Replaces the faults.
     *
     * @param faults faults from now on
     * @return completes when they are in force
     */
    public CompletableFuture<Void> setFaults(TargetFaults faults) {
        return CompletableFuture.runAsync(
                () -> {
                    engine.setFaults(faults);
                    if (!faults.silent()) {
                        List<Runnable> released = List.copyOf(held);
                        held.clear();
                        released.forEach(Runnable::run);
                    }
                },
                worker);
    }

    /**
     * Lists all executions.
     *
     * @return executions in the order of their start
     */
    public List<ExecutionRecord> executions() {
        return engine.recorder().executions();
    }

    /**
     * Lists all times during which slices were held.
     *
     * @return intervals, those that go on last
     */
    public List<GrantInterval> grantIntervals() {
        return engine.recorder().intervals();
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // The stage passes its result on to the answer.
    public CompletableFuture<StandInResponse> handle(StandInRequest request) {
        CompletableFuture<StandInResponse> answer = new CompletableFuture<>();
        Runnable task = () -> answerTo(request).whenComplete((whole, failure) -> {
            if (failure == null) {
                answer.complete(whole);
            } else {
                answer.completeExceptionally(failure);
            }
        });
        worker.execute(() -> {
            if (engine.faults().silent() && !request.path().startsWith("/control")) {
                held.add(task);
            } else {
                task.run();
            }
        });
        return answer;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    private CompletableFuture<StandInResponse> answerTo(StandInRequest request) {
        try {
            if (request.path().startsWith("/control")) {
                return control(request);
            }
            if (request.matches("PUT", TargetHeaders.GRANT_PATH)) {
                GrantAcknowledgement answer = engine.grant(GrantCodec.decode(request.body(), GrantOrder.class));
                return done(new StandInResponse(
                        200, Map.of("Content-Type", "application/json"), GrantCodec.encode(answer)));
            }
            if (request.method().equals("DELETE") && request.path().startsWith(TargetHeaders.REQUESTS_PATH)) {
                engine.cancel(request.path().substring(TargetHeaders.REQUESTS_PATH.length()));
                return done(StandInResponse.empty(204));
            }
            if (request.matches("GET", "/snipewind/health")) {
                return done(StandInResponse.json(Map.of("healthy", engine.shownHealth())));
            }
            if (request.matches("GET", "/snipewind/load")) {
                return done(StandInResponse.json(Map.of("inProgress", engine.shownLoad())));
            }
            return engine.submit(request);
        } catch (RuntimeException e) {
            return done(StandInResponse.text(400, e.toString()));
        }
    }

    private CompletableFuture<StandInResponse> control(StandInRequest request) {
        return switch (request.method() + " " + request.path()) {
            case "GET /control" -> done(StandInResponse.json(engine.report()));
            case "PUT /control" ->
                setFaults(JsonCodec.decode(request.body(), TargetFaults.class))
                        .thenApply(ignored -> StandInResponse.empty(204));
            case "POST /control/cold" -> {
                engine.startCold();
                yield done(StandInResponse.empty(204));
            }
            case "POST /control/forget" -> {
                engine.forgetGrants();
                yield done(StandInResponse.empty(204));
            }
            case "GET /control/records" -> done(lines(engine.recorder().executions()));
            case "GET /control/grants" -> done(lines(engine.recorder().intervals()));
            default -> done(StandInResponse.empty(404));
        };
    }

    private static StandInResponse lines(List<?> values) {
        return new StandInResponse(
                200,
                Map.of("Content-Type", "application/x-ndjson"),
                Recorder.jsonLines(values).getBytes(StandardCharsets.UTF_8));
    }

    private static CompletableFuture<StandInResponse> done(StandInResponse answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
