package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.TimeUnit.SECONDS;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.Refusal;

class DaemonShutdownTest {

    // Guards against a shutdown that aborts a request, or during which the load balancer still sends requests.
    @Test
    void aRequestInFlightGetsItsWholeResponseDuringShutdown() throws Exception {
        try (DaemonFixture daemon = new DaemonFixture(DaemonFixture.LIMITS);
                RawCaller caller = new RawCaller(daemon.settings.callers())) {
            CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = daemon.target.holdResponse();
            caller.send("POST /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY
                    + "\r\nContent-Length: 0\r\n\r\n");
            assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(daemon.runtime::shutdown);
            DaemonFixture.await(() -> daemon.callOperatorPort("/-/ready").status == 503);
            byte[] body = new byte[100_000];
            heldResponse.complete(Either.right(new TargetResponse(200, Map.of("X-Last", List.of("yes")), body)));
            RawCaller.Response response = caller.readResponse(false);
            assertThat(response.status).isEqualTo(200);
            assertThat(response.values("X-Last")).containsExactly("yes");
            assertThat(response.values("Connection")).containsExactly("close");
            assertThat(response.body).isEqualTo(body);
            shutdown.get(5, SECONDS);
        }
    }

    // Guards against a shutdown that starts requests to the last moment and ends in the middle of them.
    @Test
    void aRequestThatMayOutlastTheShutdownIsRefusedAsNotRun() throws Exception {
        try (DaemonFixture daemon = new DaemonFixture(DaemonFixture.LIMITS);
                RawCaller caller = new RawCaller(daemon.settings.callers())) {
            CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = daemon.target.holdResponse();
            caller.send(DaemonFixture.request("GET /a HTTP/1.1", ""));
            assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
            daemon.target.respondWith(200, Map.of(), new byte[0]);
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(daemon.runtime::shutdown);
            String request = DaemonFixture.request("GET /a HTTP/1.1", "Snipewind-Deadline-Millis: 5000\r\n");
            // Beside other load, requests can be refused for other reasons before the shutdown begins.
            DaemonFixture.await(
                    () -> daemon.call(request).values("Snipewind-Error").contains("shutting-down"));
            daemon.target.requests.clear();
            RawCaller.Response refusal = daemon.call(request);
            assertThat(refusal.values("Snipewind-Error")).containsExactly("shutting-down");
            assertThat(refusal.values("Snipewind-Execution")).containsExactly("not-run");
            assertThat(daemon.target.requests).isEmpty();
            heldResponse.complete(Either.right(new TargetResponse(200, Map.of(), new byte[0])));
            assertThat(caller.readResponse(false).status).isEqualTo(200);
            shutdown.get(5, SECONDS);
        }
    }

    // Guards against a shutdown in which the only member gives up the roles that nobody else can take: requests waited
    // for their whole deadline and were refused then.
    @Test
    void theOnlyMemberOfTheFleetServesRequestsDuringItsShutdown() throws Exception {
        try (DaemonFixture daemon = new DaemonFixture(DaemonFixture.LIMITS);
                RawCaller caller = new RawCaller(daemon.settings.callers())) {
            CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = daemon.target.holdResponse();
            caller.send(DaemonFixture.request("GET /a HTTP/1.1", ""));
            assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
            daemon.target.respondWith(200, Map.of(), new byte[0]);
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(daemon.runtime::shutdown);
            DaemonFixture.await(() -> daemon.callOperatorPort("/-/ready").status == 503);
            RawCaller.Response response = daemon.call(DaemonFixture.request("GET /a HTTP/1.1", ""));
            assertThat(response.values("Snipewind-Error")).isEmpty();
            assertThat(response.status).isEqualTo(200);
            heldResponse.complete(Either.right(new TargetResponse(200, Map.of(), new byte[0])));
            assertThat(caller.readResponse(false).status).isEqualTo(200);
            shutdown.get(5, SECONDS);
        }
    }

    // Guards against a withdrawn key that is still accepted on a connection opened before the withdrawal.
    @Test
    void aWithdrawnKeyStopsWorkingOnAnOpenConnection() throws Exception {
        try (DaemonFixture daemon = new DaemonFixture(DaemonFixture.LIMITS);
                RawCaller caller = new RawCaller(daemon.settings.callers())) {
            String request = "GET /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY + "\r\n\r\n";
            caller.send(request);
            assertThat(caller.readResponse(false).status).isEqualTo(200);
            daemon.withdrawKey();
            DaemonFixture.await(() -> {
                caller.send(request);
                return caller.readResponse(false).status == 401;
            });
        }
    }
}
