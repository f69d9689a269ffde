package org.snipewind.standins.target;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.HttpTargetClient;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.standins.server.StandInServer;

/** Guards against a stand-in for a target that hides the faults that the measurements look for. */
@Timeout(30)
final class TargetStandInTest {

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
        start(TargetOptions.withoutColdStart("t", 2, 1));
        grant(7, Set.of(4), 150);
        var running = send("long", 4, 7, 100);
        awaitExecutions(1);
        target.setFaults(new TargetFaults(true, 1, false, false, false, TargetFaults.Drop.NONE))
                .get();
        var late = send("late", 4, 7, 1);
        Thread.sleep(200);
        target.setFaults(TargetFaults.NONE).get();
        assertThat(kindOf(late.get())).isEqualTo(ErrorKind.FENCED);
        assertThat(running.get().get().status()).isEqualTo(503);
        assertThat(target.executions().get(0).outcome()).isEqualTo("aborted");
    }

    @Test
    void slotsDeadlinesAndCancellationsAreRespected() throws Exception {
        start(new TargetOptions("t", 1, 1, 9, 0, 1_000, false, 0, 0));
        var first = send("first", 4, 1, 5_000);
        awaitExecutions(1);
        var second = client.send(request("second", 4, 1, 1, 200));
        assertThat(kindOf(second.get())).isEqualTo(ErrorKind.DEADLINE_AFTER_SEND);
        client.cancel("first");
        assertThat(first.get().get().status()).isEqualTo(499);
        assertThat(send("third", 4, 1, 1).get().isRight()).isTrue();
        assertThat(target.executions().stream().map(ExecutionRecord::requestId)).containsExactly("first", "third");
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
        target = new TargetStandIn(options);
        server = StandInServer.start(target, 0);
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

    private void awaitExecutions(int count) throws InterruptedException {
        while (target.executions().size() < count) {
            Thread.sleep(2);
        }
    }

    private static ErrorKind kindOf(Either<Refusal, TargetResponse> outcome) {
        return outcome.getLeft().kind();
    }
}
