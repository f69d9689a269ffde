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
import org.snipewind.clients.target.GrantOrder;
import org.snipewind.clients.target.TargetHeaders;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.ownership.GrantValidator;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/** Grants, slots, cold start and faults of a target; all methods but the recorder's run on its one worker thread. */
final class TargetEngine {

    private static final CompletableFuture<StandInResponse> NO_ANSWER = new CompletableFuture<>();
    // Ends of service times are checked when they come; the tick finds ended grants and removed faults.
    private static final long TICK_MILLIS = 20;

    private final TargetOptions options;
    private final MillisClock clock;
    private final ScheduledExecutorService worker;
    private final Recorder recorder = new Recorder();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private final List<Work> running = new ArrayList<>();
    private final LaggedValue<Boolean> health;
    private final LaggedValue<Integer> load;
    private GrantValidator register;
    private long grantEnd;
    private TargetFaults faults = TargetFaults.NONE;
    private int answersSinceCold;
    private int highestColdInProgress;
    private int falls;
    private long fallenUntil;
    private long fenced;

    @SuppressWarnings("FutureReturnValueIgnored") // The tick ends with the worker.
    TargetEngine(TargetOptions options, MillisClock clock, ScheduledExecutorService worker) {
        this.options = options;
        this.clock = clock;
        this.worker = worker;
        health = new LaggedValue<>(clock, options.healthLagMillis(), true);
        load = new LaggedValue<>(clock, options.loadLagMillis(), 0);
        fallenUntil = clock.nowMillis();
        forgetGrants();
        worker.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    Recorder recorder() {
        return recorder;
    }

    TargetFaults faults() {
        return faults;
    }

    void setFaults(TargetFaults newFaults) {
        faults = newFaults;
        health.set(!faults.silent() && !faults.shedding());
    }

    boolean shownHealth() {
        return health.read();
    }

    int shownLoad() {
        return load.read();
    }

    void startCold() {
        answersSinceCold = 0;
    }

    void forgetGrants() {
        register = new GrantValidator(clock, options.name() + "-" + UUID.randomUUID());
        grantEnd = 0;
    }

    TargetStandInReport report() {
        return new TargetStandInReport(
                options.name(),
                register.incarnation(),
                isCold(),
                inProgress(),
                highestColdInProgress,
                falls,
                recorder.executions().size(),
                fenced);
    }

    GrantAcknowledgement grant(GrantOrder order) {
        boolean isForThis = order.target().equals(options.name());
        boolean accepted = isForThis
                && register.applyGrant(
                        order.token(), order.tableVersion(), order.slices(), order.validUntilTargetMillis());
        long now = register.nowMillis();
        int released = 0;
        if (accepted) {
            grantEnd = Math.max(grantEnd, order.validUntilTargetMillis());
            boolean isLive = register.isServable(order.token(), OptionalInt.empty());
            long remaining = isLive ? Math.max(0, order.validUntilTargetMillis() - now) : 0;
            recorder.granted(
                    options.name(),
                    register.incarnation(),
                    order.slices(),
                    order.token(),
                    EpochMicros.now() + TimeUnit.MILLISECONDS.toMicros(remaining));
            released = (int) running.stream()
                    .filter(work -> work.slice.isPresent() && !order.slices().contains(work.slice.getAsInt()))
                    .count();
        }
        return new GrantAcknowledgement(
                accepted, register.highestToken(), now, register.incarnation(), released, faults.draining());
    }

    CompletableFuture<StandInResponse> submit(StandInRequest request) {
        long now = clock.nowMillis();
        if (now < fallenUntil || faults.drop() == TargetFaults.Drop.BEFORE_RUN) {
            request.connection().drop();
            return NO_ANSWER;
        }
        Work work = new Work(request, now, options.serviceMillis());
        if (faults.shedding()) {
            return CompletableFuture.completedFuture(notRun(TargetHeaders.NOT_RUN_SHED));
        }
        if (isFenced(work)) {
            fenced++;
            return CompletableFuture.completedFuture(notRun(TargetHeaders.NOT_RUN_FENCED));
        }
        waiting.addLast(work);
        if (isCold()) {
            highestColdInProgress = Math.max(highestColdInProgress, inProgress());
            if (inProgress() > options.coldStartConcurrency()) {
                fallOver();
                return work.answer;
            }
        }
        startWaiting();
        return work.answer;
    }

    void cancel(String requestId) {
        waiting.forEach(work -> work.isCancelled |= work.id.equals(requestId));
        running.forEach(work -> work.isCancelled |= work.id.equals(requestId));
        tick();
    }

    private void tick() {
        if (faults.silent()) {
            return;
        }
        long now = clock.nowMillis();
        for (Work work : List.copyOf(running)) {
            // A process that was frozen finds its grant ended here, before it goes on with work of its slices.
            if (options.checksTokens() && register.nowMillis() >= grantEnd) {
                end(work, "aborted", StandInResponse.text(503, "the grant ended"));
            } else if (work.isCancelled) {
                end(work, "cancelled", StandInResponse.text(499, "cancelled"));
            } else if (now >= work.endsAt && work.endsAt <= work.deadline) {
                finish(work);
            } else if (now >= work.deadline) {
                end(work, "expired", StandInResponse.text(504, "the deadline passed"));
            }
        }
        startWaiting();
        load.set(inProgress());
    }

    private void startWaiting() {
        while (running.size() < options.slots() && !waiting.isEmpty()) {
            Work work = waiting.removeFirst();
            if (work.isCancelled || clock.nowMillis() >= work.deadline) {
                work.answer.complete(notRun(TargetHeaders.NOT_RUN_SHED));
            } else if (isFenced(work)) {
                fenced++;
                work.answer.complete(notRun(TargetHeaders.NOT_RUN_FENCED));
            } else {
                start(work);
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // The check ends with the worker.
    private void start(Work work) {
        work.endsAt = clock.nowMillis() + Math.round(work.serviceMillis * faults.slowFactor());
        work.recordPosition = recorder.started(new ExecutionRecord(
                options.name(),
                register.incarnation(),
                work.id,
                work.request.header(TargetHeaders.ORGANISATION).orElse(""),
                work.slice.orElse(-1),
                work.request.uri(),
                work.token,
                EpochMicros.now(),
                0,
                "running"));
        running.add(work);
        long checkAt = Math.min(work.endsAt, work.deadline);
        worker.schedule(this::tick, Math.max(0, checkAt - clock.nowMillis()), TimeUnit.MILLISECONDS);
    }

    private void finish(Work work) {
        answersSinceCold++;
        StandInResponse answer = echo(work);
        if (faults.drop() == TargetFaults.Drop.AFTER_RUN) {
            end(work, "finished", null);
            work.request.connection().drop();
        } else if (faults.cut()) {
            end(work, "finished", null);
            work.request.connection().sendTruncated(answer);
        } else {
            end(work, "finished", answer);
        }
    }

    private void end(Work work, String outcome, StandInResponse answer) {
        running.remove(work);
        recorder.ended(work.recordPosition, outcome);
        if (answer != null) {
            work.answer.complete(answer);
        }
    }

    private void fallOver() {
        falls++;
        fallenUntil = clock.nowMillis() + options.outageMillis();
        answersSinceCold = 0;
        for (Work work : List.copyOf(running)) {
            end(work, "aborted", null);
            work.request.connection().drop();
        }
        waiting.forEach(work -> work.request.connection().drop());
        waiting.clear();
    }

    private boolean isFenced(Work work) {
        return options.checksTokens() && !register.isServable(work.token, work.slice);
    }

    private boolean isCold() {
        return answersSinceCold < options.coldStartResponses();
    }

    private int inProgress() {
        return waiting.size() + running.size();
    }

    private StandInResponse echo(Work work) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("target", options.name());
        content.put("requestId", work.id);
        content.put(
                "organisation", work.request.header(TargetHeaders.ORGANISATION).orElse(""));
        content.put("slice", work.slice.orElse(-1));
        content.put("method", work.request.method());
        content.put("uri", work.request.uri());
        content.put("headers", work.request.headers());
        content.put("bodyLength", work.request.body().length);
        return StandInResponse.json(content);
    }

    private static StandInResponse notRun(String reason) {
        return new StandInResponse(503, Map.of(TargetHeaders.NOT_RUN, reason), new byte[0]);
    }
}
