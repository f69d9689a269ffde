package org.snipewind.standins.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.TargetHeaders;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.ownership.GrantValidator;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/**
 * Simulates the grants, slots, cold start and faults of a target. All methods run on the single worker thread, except
 * those of the recorder.
 */
final class TargetEngine {

    private static final CompletableFuture<StandInResponse> NO_RESPONSE = new CompletableFuture<>();
    // The end of each service time has a scheduled check; the periodic tick detects expired grants and removed faults.
    private static final long TICK_INTERVAL_MILLIS = 20;

    private final TargetOptions options;
    private final MillisClock clock;
    private final ScheduledExecutorService worker;
    private final ExecutionRecorder recorder = new ExecutionRecorder();
    private final Deque<PendingRequest> waiting = new ArrayDeque<>();
    private final List<PendingRequest> running = new ArrayList<>();
    private final LaggedValue<Boolean> health;
    private final LaggedValue<Integer> load;
    private GrantValidator grantValidator;
    private long grantEndMillis;
    private TargetFaults faults = TargetFaults.NONE;
    private int responsesSinceColdStart;
    private int highestColdStartInProgress;
    private int overloadFailures;
    private long outageUntilMillis;
    private long fencedRequests;

    @SuppressWarnings("FutureReturnValueIgnored") // The worker ends the tick when it shuts down.
    TargetEngine(TargetOptions options, MillisClock clock, ScheduledExecutorService worker) {
        this.options = options;
        this.clock = clock;
        this.worker = worker;
        health = new LaggedValue<>(clock, options.healthLagMillis(), true);
        load = new LaggedValue<>(clock, options.loadLagMillis(), 0);
        outageUntilMillis = clock.nowMillis();
        forgetGrants();
        worker.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    ExecutionRecorder recorder() {
        return recorder;
    }

    TargetFaults faults() {
        return faults;
    }

    void setFaults(TargetFaults newFaults) {
        faults = newFaults;
        health.set(!faults.silent() && !faults.shedding());
    }

    boolean reportedHealth() {
        return health.read();
    }

    int reportedLoad() {
        return load.read();
    }

    void startColdStart() {
        responsesSinceColdStart = 0;
    }

    void forgetGrants() {
        grantValidator = new GrantValidator(clock, options.name() + "-" + UUID.randomUUID());
        grantEndMillis = 0;
    }

    TargetStandInReport report() {
        return new TargetStandInReport(
                options.name(),
                grantValidator.incarnation(),
                isInColdStart(),
                inProgress(),
                highestColdStartInProgress,
                overloadFailures,
                recorder.executions().size(),
                fencedRequests);
    }

    GrantAcknowledgement grant(GrantRequest grantRequest) {
        boolean isForThisTarget = grantRequest.target().equals(options.name());
        boolean accepted = isForThisTarget
                && grantValidator.applyGrant(
                        grantRequest.token(),
                        grantRequest.tableVersion(),
                        grantRequest.slices(),
                        grantRequest.validUntilTargetMillis());
        long nowMillis = grantValidator.nowMillis();
        int releasedRequests = 0;
        if (accepted) {
            grantEndMillis = Math.max(grantEndMillis, grantRequest.validUntilTargetMillis());
            boolean isValid = grantValidator.isServable(grantRequest.token(), OptionalInt.empty());
            long remainingMillis = isValid ? Math.max(0, grantRequest.validUntilTargetMillis() - nowMillis) : 0;
            recorder.recordGrant(
                    options.name(),
                    grantValidator.incarnation(),
                    grantRequest.slices(),
                    grantRequest.token(),
                    EpochMicros.now() + TimeUnit.MILLISECONDS.toMicros(remainingMillis));
            releasedRequests = (int) running.stream()
                    .filter(pending ->
                            pending.slice.isPresent() && !grantRequest.slices().contains(pending.slice.getAsInt()))
                    .count();
        }
        return new GrantAcknowledgement(
                accepted,
                grantValidator.highestToken(),
                nowMillis,
                grantValidator.incarnation(),
                releasedRequests,
                faults.draining());
    }

    CompletableFuture<StandInResponse> submit(StandInRequest request) {
        long nowMillis = clock.nowMillis();
        if (nowMillis < outageUntilMillis || faults.drop() == TargetFaults.Drop.BEFORE_RUN) {
            request.connection().drop();
            return NO_RESPONSE;
        }
        PendingRequest pending = new PendingRequest(request, nowMillis, options.serviceMillis());
        if (faults.shedding()) {
            return CompletableFuture.completedFuture(notRunResponse(TargetHeaders.NOT_RUN_SHED));
        }
        if (isFenced(pending)) {
            fencedRequests++;
            return CompletableFuture.completedFuture(notRunResponse(TargetHeaders.NOT_RUN_FENCED));
        }
        waiting.addLast(pending);
        if (isInColdStart()) {
            highestColdStartInProgress = Math.max(highestColdStartInProgress, inProgress());
            if (inProgress() > options.coldStartConcurrency()) {
                failFromOverload();
                return pending.response;
            }
        }
        startWaiting();
        return pending.response;
    }

    void cancel(String requestId) {
        waiting.forEach(pending -> pending.isCancelled |= pending.id.equals(requestId));
        running.forEach(pending -> pending.isCancelled |= pending.id.equals(requestId));
        tick();
    }

    private void tick() {
        if (faults.silent()) {
            return;
        }
        long nowMillis = clock.nowMillis();
        for (PendingRequest pending : List.copyOf(running)) {
            // A process that was paused detects here that its grant has expired, before it continues with requests for
            // its slices.
            if (options.checksTokens() && grantValidator.nowMillis() >= grantEndMillis) {
                end(pending, "aborted", StandInResponse.text(503, "the grant ended"));
            } else if (pending.isCancelled) {
                end(pending, "cancelled", StandInResponse.text(499, "cancelled"));
            } else if (nowMillis >= pending.endsAtMillis && pending.endsAtMillis <= pending.deadlineMillis) {
                finish(pending);
            } else if (nowMillis >= pending.deadlineMillis) {
                end(pending, "expired", StandInResponse.text(504, "the deadline passed"));
            }
        }
        startWaiting();
        load.set(inProgress());
    }

    private void startWaiting() {
        while (running.size() < options.slots() && !waiting.isEmpty()) {
            PendingRequest pending = waiting.removeFirst();
            if (pending.isCancelled || clock.nowMillis() >= pending.deadlineMillis) {
                pending.response.complete(notRunResponse(TargetHeaders.NOT_RUN_SHED));
            } else if (isFenced(pending)) {
                fencedRequests++;
                pending.response.complete(notRunResponse(TargetHeaders.NOT_RUN_FENCED));
            } else {
                start(pending);
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The worker drops the check when it shuts down.
    private void start(PendingRequest pending) {
        pending.endsAtMillis = clock.nowMillis() + Math.round(pending.serviceMillis * faults.slowFactor());
        pending.recordIndex = recorder.recordStart(new ExecutionRecord(
                options.name(),
                grantValidator.incarnation(),
                pending.id,
                pending.request.header(TargetHeaders.ORGANISATION).orElse(""),
                pending.slice.orElse(-1),
                pending.request.uri(),
                pending.token,
                EpochMicros.now(),
                0,
                "running"));
        running.add(pending);
        long checkAtMillis = Math.min(pending.endsAtMillis, pending.deadlineMillis);
        worker.schedule(this::tick, Math.max(0, checkAtMillis - clock.nowMillis()), TimeUnit.MILLISECONDS);
    }

    private void finish(PendingRequest pending) {
        responsesSinceColdStart++;
        StandInResponse response = echoResponse(pending);
        if (faults.drop() == TargetFaults.Drop.AFTER_RUN) {
            end(pending, "finished", null);
            pending.request.connection().drop();
        } else if (faults.cut()) {
            end(pending, "finished", null);
            pending.request.connection().sendTruncated(response);
        } else {
            end(pending, "finished", response);
        }
    }

    private void end(PendingRequest pending, String outcome, StandInResponse response) {
        running.remove(pending);
        recorder.recordEnd(pending.recordIndex, outcome);
        if (response != null) {
            pending.response.complete(response);
        }
    }

    private void failFromOverload() {
        overloadFailures++;
        outageUntilMillis = clock.nowMillis() + options.outageMillis();
        responsesSinceColdStart = 0;
        for (PendingRequest pending : List.copyOf(running)) {
            end(pending, "aborted", null);
            pending.request.connection().drop();
        }
        waiting.forEach(pending -> pending.request.connection().drop());
        waiting.clear();
    }

    private boolean isFenced(PendingRequest pending) {
        return options.checksTokens() && !grantValidator.isServable(pending.token, pending.slice);
    }

    private boolean isInColdStart() {
        return responsesSinceColdStart < options.coldStartResponses();
    }

    private int inProgress() {
        return waiting.size() + running.size();
    }

    private StandInResponse echoResponse(PendingRequest pending) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("target", options.name());
        content.put("requestId", pending.id);
        content.put(
                "organisation",
                pending.request.header(TargetHeaders.ORGANISATION).orElse(""));
        content.put("slice", pending.slice.orElse(-1));
        content.put("method", pending.request.method());
        content.put("uri", pending.request.uri());
        content.put("headers", pending.request.headers());
        content.put("bodyLength", pending.request.body().length);
        return StandInResponse.json(content);
    }

    private static StandInResponse notRunResponse(String reason) {
        return new StandInResponse(503, Map.of(TargetHeaders.NOT_RUN, reason), new byte[0]);
    }
}
