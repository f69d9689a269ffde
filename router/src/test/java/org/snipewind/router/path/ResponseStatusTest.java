package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a response of a target in trouble whose status is no status of HTTP, such as 000. */
final class ResponseStatusTest {

    private static final List<String> NO_STATUSES =
            List.of("000", "0", "20", "99", "099", "0200", "+200", "-200", "600", "999", "1000", "2 00", "");

    private final RoutingFixture fixture = new RoutingFixture();
    private volatile String status = "";

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    @Test
    void anIdempotentRequestIsServedByAnotherTarget() throws Exception {
        addTargetInTrouble();
        fixture.addTarget(
                "sound", RoutingFixture.PLAIN_POOL, exchange -> RoutingFixture.sendResponse(exchange, 200, true));
        for (String noStatus : NO_STATUSES) {
            status = noStatus;
            for (int request = 0; request < 6; request++) {
                assertWithMessage("status '%s'", noStatus)
                        .that(fixture.send("/plain/x", Optional.of("1")).await())
                        .isEqualTo("200");
            }
        }
    }

    @Test
    void aRequestThatMayHaveRunIsAnsweredWithAnErrorOfTheRouter() throws Exception {
        addTargetInTrouble();
        for (String noStatus : NO_STATUSES) {
            status = noStatus;
            assertWithMessage("status '%s'", noStatus)
                    .that(fixture.send("/plain-once/x", Optional.of("1")).await())
                    .isEqualTo("target-lost");
        }
    }

    private void addTargetInTrouble() throws Exception {
        fixture.addSocketTarget("trouble", RoutingFixture.PLAIN_POOL, connection -> {
            while (RoutingFixture.readHead(connection)) {
                RoutingFixture.write(
                        connection,
                        "HTTP/1.1 " + status + " Status\r\nId: 1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno");
            }
        });
    }
}
