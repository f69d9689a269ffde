package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.TimeUnit.SECONDS;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.Refusal;

class DaemonShutdownTest {

    // Guards against a shutdown that cuts a request or keeps the balancer sending callers.
    @Test
    void aRequestInFlightGetsItsWholeAnswerDuringShutdown() throws Exception {
        try (DaemonFixture daemon = new DaemonFixture(DaemonFixture.LIMITS);
                RawCaller caller = new RawCaller(daemon.settings.callers())) {
            CompletableFuture<Either<Refusal, TargetAnswer>> held = daemon.target.hold();
            caller.send("POST /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY
                    + "\r\nContent-Length: 0\r\n\r\n");
            assertThat(daemon.target.requests.poll(5, SECONDS)).isNotNull();
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(daemon.runtime::shutdown);
            DaemonFixture.await(() -> daemon.operate("/-/ready").status == 503);
            byte[] body = new byte[100_000];
            held.complete(Either.right(new TargetAnswer(200, Map.of("X-Last", List.of("yes")), body)));
            RawCaller.Answer answer = caller.read(false);
            assertThat(answer.status).isEqualTo(200);
            assertThat(answer.values("X-Last")).containsExactly("yes");
            assertThat(answer.values("Connection")).containsExactly("close");
            assertThat(answer.body).isEqualTo(body);
            shutdown.get(5, SECONDS);
        }
    }

    // Guards against a key that goes on working on a connection that was open when it was withdrawn.
    @Test
    void aWithdrawnKeyStopsWorkingOnAnOpenConnection() throws Exception {
        try (DaemonFixture daemon = new DaemonFixture(DaemonFixture.LIMITS);
                RawCaller caller = new RawCaller(daemon.settings.callers())) {
            String request = "GET /a HTTP/1.1\r\nHost: daemon\r\nSnipewind-Key: " + DaemonFixture.KEY + "\r\n\r\n";
            caller.send(request);
            assertThat(caller.read(false).status).isEqualTo(200);
            daemon.withdrawKey();
            DaemonFixture.await(() -> {
                caller.send(request);
                return caller.read(false).status == 401;
            });
        }
    }
}
