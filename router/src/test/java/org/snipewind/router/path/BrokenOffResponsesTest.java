package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** Guards against callers that lose their responses again and again, because a target sends broken-off responses. */
final class BrokenOffResponsesTest {

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: %d\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int REQUESTS = 20;
    private static final int SPOILED_RESPONSES = 3;

    private final RoutingFixture fixture = new RoutingFixture();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    /** The target sends the beginning of a second response before each response but the first on its connection. */
    @Test
    void afterABrokenOffResponseTheTargetIsServedOverNewConnections() throws Exception {
        fixture.addSocketTarget("a", RoutingFixture.PLAIN_POOL, BrokenOffResponsesTest::serve);
        int lost = 0;
        for (int request = 1; request <= REQUESTS; request++) {
            String outcome = fixture.send("/plain-once/x", Optional.of(Integer.toString(request)))
                    .await();
            lost += outcome.equals("200") ? 0 : 1;
        }
        assertThat(lost).isEqualTo(1);
    }

    /** Guards against an owner that counts as silent, so that all requests for its keys are refused for seconds. */
    @Test
    void anOwnerWhoseResponsesAreSpoiledStillGetsRequests() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        fixture.addSocketTarget("a", RoutingFixture.KEYED_POOL, connection -> {
            for (String id = readId(connection); !id.isEmpty(); id = readId(connection)) {
                boolean spoiled = requests.incrementAndGet() <= SPOILED_RESPONSES;
                RoutingFixture.write(
                        connection, spoiled ? "spoiled\r\n\r\n" : RESPONSE.formatted(Integer.parseInt(id)));
            }
        });
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        for (int request = 1; request <= SPOILED_RESPONSES; request++) {
            assertThat(send("/keyed-once/x", request)).isEqualTo("target-lost");
        }
        assertThat(send("/keyed-once/x", SPOILED_RESPONSES + 1)).isEqualTo("200");
    }

    private String send(String path, int request) throws Exception {
        return fixture.send(path, Optional.of(Integer.toString(request))).await();
    }

    private static void serve(Socket connection) throws IOException {
        boolean first = true;
        String id = readId(connection);
        while (!id.isEmpty()) {
            String response = RESPONSE.formatted(Integer.parseInt(id));
            RoutingFixture.write(connection, first ? response : "HTTP/1.1 503 St" + response);
            first = false;
            id = readId(connection);
        }
    }

    /** Reads a request; returns its id, empty at the end of the connection. */
    private static String readId(Socket connection) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = connection.getInputStream().read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString().replaceAll("(?s).*Id: ([0-9]+).*", "$1");
    }
}
