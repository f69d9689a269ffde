package org.snipewind.standins.target;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.HttpTargetClient;
import org.snipewind.clients.target.TargetHeaders;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;
import org.snipewind.standins.server.StandInServer;

/** Guards against a stand-in for a target that hides the faults that the measurements look for. */
@Timeout(30)
final class TargetStandInTest {

    private static final TargetOptions ONE_SLOT = new TargetOptions("t", 1, 1, 9, 0, 1_000, false, 0, 0);

    private final List<String> arrivals = new CopyOnWriteArrayList<>();
    private TargetStandIn target;
    private StandInServer server;
    private HttpTargetClient client;

    @AfterEach
    void stop() {
        client.close();
        server.close();
        target.close();
    }

    @Test
    void aKeyedRequestRunsOnlyWithinTheGrant() throws Exception {
        start(TargetOptions.withoutColdStart("t", 2, 1));
        assertThat(kindOf(send("before", 4, 7, 1).get())).isEqualTo(ErrorKind.FENCED);
        grant(7, Set.of(4), 10_000);
        String body = new String(send("inside", 4, 7, 1).get().get().body(), StandardCharsets.UTF_8);
        assertThat(body).contains("\"requestId\":\"inside\"");
        assertThat(body).contains("\"organisation\":\"org\"");
        assertThat(kindOf(send("other-slice", 5, 7, 1).get())).isEqualTo(ErrorKind.FENCED);
        assertThat(kindOf(send("other-token", 4, 6, 1).get())).isEqualTo(ErrorKind.FENCED);
        assertThat(grant(6, Set.of(4), 10_000).accepted()).isFalse();
        assertThat(target.executions().stream().map(ExecutionRecord::requestId)).containsExactly("inside");
        assertThat(target.grantIntervals().stream().map(GrantInterval::slice)).containsExactly(4);
    }

    @Test
    void aReleasedSliceIsReportedWhileItsRequestRuns() throws Exception {
        start(TargetOptions.withoutColdStart("t", 2, 1));
        grant(7, Set.of(4, 5), 10_000);
        var running = send("long", 4, 7, 300);
        awaitExecutions(1);
        assertThat(grant(7, Set.of(5), 10_000).releasedWork()).isEqualTo(1);
        assertThat(running.get().isRight()).isTrue();
        assertThat(grant(7, Set.of(5), 10_000).releasedWork()).isEqualTo(0);
        assertThat(target.grantIntervals()).hasSize(2);
    }

    @Test
    void aResumedTargetAbortsTheRequestsOfItsExpiredGrant() throws Exception {
        ManualMillisClock clock = new ManualMillisClock(0);
        start(TargetOptions.withoutColdStart("t", 2, 1), clock);
        grant(7, Set.of(4), 150);
        var running = send("long", 4, 7, 100);
        awaitExecutions(1);
        target.setFaults(new TargetFaults(true, 1, false, false, false, TargetFaults.Drop.NONE))
                .get();
        var late = send("late", 4, 7, 1);
        awaitReceived("POST late");
        clock.advance(200);
        target.setFaults(TargetFaults.NONE).get();
        assertThat(kindOf(late.get())).isEqualTo(ErrorKind.FENCED);
        assertThat(running.get().get().status()).isEqualTo(503);
        assertThat(target.executions().get(0).outcome()).isEqualTo("aborted");
    }

    /** Guards against a request that gets the slot of another after its own deadline. */
    @Test
    void aRequestWhoseDeadlinePassesBeforeASlotIsFreeIsNotRun() throws Exception {
        ManualMillisClock clock = new ManualMillisClock(0);
        start(ONE_SLOT, clock);
        var first = client.send(request("first", 4, 1, 50_000, 60_000));
        awaitExecutions(1);
        var second = client.send(request("second", 4, 1, 1, 10_000));
        awaitArrival("POST second");
        clock.advance(10_000);
        client.cancel("first");
        assertThat(first.get().get().status()).isEqualTo(499);
        assertThat(kindOf(second.get())).isEqualTo(ErrorKind.TARGET_SHED);
        assertThatOnlyFirstRanBefore("third", clock);
    }

    /** Guards against a request that runs although its caller has cancelled it before a slot was free. */
    @Test
    void aRequestThatIsCancelledBeforeASlotIsFreeIsNotRun() throws Exception {
        ManualMillisClock clock = new ManualMillisClock(0);
        start(ONE_SLOT, clock);
        var first = client.send(request("first", 4, 1, 50_000, 60_000));
        awaitExecutions(1);
        var second = client.send(request("second", 4, 1, 1, 10_000));
        awaitArrival("POST second");
        client.cancel("second");
        awaitArrival("DELETE second");
        client.cancel("first");
        assertThat(first.get().get().status()).isEqualTo(499);
        assertThat(kindOf(second.get())).isEqualTo(ErrorKind.TARGET_SHED);
        assertThatOnlyFirstRanBefore("third", clock);
    }

    /** Guards against a client that waits past the deadline or leaves the request at the target. */
    @Test
    void aCallerStopsWaitingAtItsDeadlineAndCancelsItsRequest() throws Exception {
        start(ONE_SLOT, new ManualMillisClock(0));
        var first = client.send(request("first", 4, 1, 50_000, 60_000));
        awaitExecutions(1);
        var second = client.send(request("second", 4, 1, 1, 200));
        assertThat(kindOf(second.get())).isEqualTo(ErrorKind.DEADLINE_AFTER_SEND);
        awaitArrival("DELETE second");
        assertThat(first.isDone()).isFalse();
        assertThat(target.executions()).hasSize(1);
    }

    @Test
    void aTargetInColdStartHasAnOutageAboveItsConcurrency() throws Exception {
        start(new TargetOptions("t", 1, 1, 2, 3, 100, false, 0, 0));
        List<CompletableFuture<Either<Refusal, TargetResponse>>> outcomes =
                List.of(send("a", 1, 1, 500), send("b", 1, 1, 500), send("c", 1, 1, 500));
        for (CompletableFuture<Either<Refusal, TargetResponse>> outcome : outcomes) {
            assertThat(kindOf(outcome.get())).isEqualTo(ErrorKind.TARGET_LOST);
        }
        Thread.sleep(120);
        for (int i = 0; i < 3; i++) {
            assertThat(send("warm-" + i, 1, 1, 1).get().isRight()).isTrue();
        }
        assertThat(send("w", 1, 1, 1).get().isRight()).isTrue();
    }

    @Test
    void connectionFaultsOccurAfterOrBeforeTheRun() throws Exception {
        start(new TargetOptions("t", 1, 1, 9, 0, 1_000, false, 0, 0));
        target.setFaults(new TargetFaults(false, 1, false, false, true, TargetFaults.Drop.NONE))
                .get();
        assertThat(kindOf(send("cut", 1, 1, 1).get())).isEqualTo(ErrorKind.ANSWER_INCOMPLETE);
        target.setFaults(new TargetFaults(false, 1, false, false, false, TargetFaults.Drop.AFTER_RUN))
                .get();
        assertThat(kindOf(send("after", 1, 1, 1).get())).isEqualTo(ErrorKind.TARGET_LOST);
        target.setFaults(new TargetFaults(false, 1, false, false, false, TargetFaults.Drop.BEFORE_RUN))
                .get();
        assertThat(kindOf(send("before", 1, 1, 1).get())).isEqualTo(ErrorKind.TARGET_LOST);
        target.setFaults(new TargetFaults(false, 1, true, true, false, TargetFaults.Drop.NONE))
                .get();
        assertThat(kindOf(send("shed", 1, 1, 1).get())).isEqualTo(ErrorKind.TARGET_SHED);
        assertThat(grant(1, Set.of(), 100).draining()).isTrue();
        assertThat(target.executions().stream().map(ExecutionRecord::requestId)).containsExactly("cut", "after");
    }

    private void start(TargetOptions options) {
        start(options, new SystemMillisClock());
    }

    private void start(TargetOptions options, MillisClock clock) {
        target = new TargetStandIn(options, clock);
        server = StandInServer.start(
                request -> {
                    CompletableFuture<StandInResponse> response = target.handle(request);
                    arrivals.add(describe(request));
                    return response;
                },
                0);
        client = new HttpTargetClient(server.address(), 8, 1_000, 1_000);
    }

    private GrantAcknowledgement grant(long token, Set<Integer> slices, long lifetimeMillis) throws Exception {
        long targetMillis = client.grant(new GrantRequest("t", token, 1, slices, 0))
                .get(5, TimeUnit.SECONDS)
                .targetMillis();
        return client.grant(new GrantRequest("t", token, 1, slices, targetMillis + lifetimeMillis))
                .get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<Either<Refusal, TargetResponse>> send(
            String id, int slice, long token, long serviceMillis) {
        return client.send(request(id, slice, token, serviceMillis, 10_000));
    }

    private static TargetRequest request(String id, int slice, long token, long serviceMillis, long deadlineMillis) {
        Map<String, List<String>> headers = Map.of("Service-Millis", List.of(Long.toString(serviceMillis)));
        return new TargetRequest(
                id, "org", "POST", "/book", headers, new byte[] {'b'}, OptionalInt.of(slice), token, deadlineMillis);
    }

    /** Sends a request that must be the second one to run. */
    private void assertThatOnlyFirstRanBefore(String id, ManualMillisClock clock) throws Exception {
        var last = send(id, 4, 1, 1);
        awaitExecutions(2);
        clock.advance(1);
        assertThat(last.get().isRight()).isTrue();
        assertThat(target.executions().stream().map(ExecutionRecord::requestId))
                .containsExactly("first", id)
                .inOrder();
    }

    /** Returns the method and the id of the request that is sent or cancelled. */
    private static String describe(StandInRequest request) {
        String lastSegment = request.path().substring(request.path().lastIndexOf('/') + 1);
        return request.method() + " " + request.header(TargetHeaders.REQUEST).orElse(lastSegment);
    }

    /** Waits until the target has handled a request, so that its deadline counts from the current time. */
    private void awaitArrival(String description) throws Exception {
        awaitReceived(description);
        // The target handles one call after the other, so the end of this one is the end of those before it.
        target.setFaults(TargetFaults.NONE).get();
    }

    private void awaitReceived(String description) throws InterruptedException {
        while (!arrivals.contains(description)) {
            Thread.sleep(2);
        }
    }

    private void awaitExecutions(int count) throws InterruptedException {
        while (target.executions().size() < count) {
            Thread.sleep(2);
        }
    }

    private static ErrorKind kindOf(Either<Refusal, TargetResponse> outcome) {
        return outcome.getLeft().kind();
    }
}
