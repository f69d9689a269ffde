package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.Execution;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/**
 * Guards against a second copy of a response that arrives late, on a connection that is in use again, and is taken for
 * the response to the next request or attempt.
 */
final class DuplicateResponsesTest {

    private static final String REJECTION = "HTTP/1.1 503 Full\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 0\r\n\r\n";

    private final RoutingFixture fixture = new RoutingFixture();
    private final AtomicInteger requestsRun = new AtomicInteger();
    private final AtomicInteger requestsReceived = new AtomicInteger();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    /** The second copy of the rejection of the first attempt has the id of the second attempt. */
    @Test
    void aSecondCopyOfARejectionDoesNotEndTheNextAttemptOfItsRequest() throws Exception {
        startTarget("Id: 1\r\n");
        assertThat(send(Optional.of("1"))).isEqualTo("200");
        assertThat(requestsRun.get()).isEqualTo(1);
    }

    /** Without an id, no response on a connection with earlier exchanges can be told from a late one. */
    @Test
    void aSecondCopyOfARejectionDoesNotEndARequestWithoutAnId() throws Exception {
        startTarget("");
        assertThat(send(Optional.empty())).isEqualTo("200");
        assertThat(requestsRun.get()).isEqualTo(1);
    }

    /** An idempotent request may be sent again, but its caller must not be told that it did not run. */
    @Test
    void aRejectionWithoutAnIdOnAUsedConnectionDoesNotShowThatTheRequestDidNotRun() throws Exception {
        fixture.addSocketTarget("a", RoutingFixture.PLAIN_POOL, connection -> {
            for (int exchange = 0; RoutingFixture.readHead(connection); exchange++) {
                boolean first = requestsReceived.getAndIncrement() == 0;
                RoutingFixture.write(connection, first ? SUCCESS.formatted("Id: 1\r\n") : REJECTION.formatted(""));
            }
        });
        assertThat(fixture.send("/plain/x", Optional.of("1")).await()).isEqualTo("200");
        RoutingFixture.Outcome second = fixture.send("/plain/x", Optional.of("2"));
        second.await();
        assertThat(second.refusal().orElseThrow().execution()).isEqualTo(Execution.UNKNOWN);
    }

    /** Starts a target that rejects the first request and sends the rejection again when it gets the next one. */
    private void startTarget(String idHeader) throws Exception {
        fixture.addSocketTarget("a", RoutingFixture.KEYED_POOL, connection -> serve(connection, idHeader));
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
    }

    private void serve(Socket connection, String idHeader) throws IOException, InterruptedException {
        boolean rejectedHere = false;
        while (RoutingFixture.readHead(connection)) {
            if (requestsReceived.incrementAndGet() == 1) {
                rejectedHere = true;
                RoutingFixture.write(connection, REJECTION.formatted(idHeader));
                continue;
            }
            requestsRun.incrementAndGet();
            if (rejectedHere) {
                RoutingFixture.write(connection, REJECTION.formatted(idHeader));
            }
            TimeUnit.MILLISECONDS.sleep(50);
            RoutingFixture.write(connection, SUCCESS.formatted(idHeader));
        }
    }

    private String send(Optional<String> id) throws Exception {
        return fixture.send("/keyed-once/x", id).await();
    }
}
