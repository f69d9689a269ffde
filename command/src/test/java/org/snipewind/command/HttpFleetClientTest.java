package org.snipewind.command;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.micronaut.serde.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.status.OrganisationStatus;
import org.snipewind.clients.status.TargetStatus;

class HttpFleetClientTest {

    /** Guards against a client that cannot read a daemon's status, or that throws if the daemon does not respond. */
    @Test
    void statusIsReadOverHttpAndAFailureIsReturnedAsAReason() throws IOException {
        DaemonStatus status = new DaemonStatus(
                "d-1",
                "rosario",
                true,
                7,
                10,
                3,
                true,
                20,
                1,
                List.of(new TargetStatus("reelteca-1", "reelteca", "LIVE", 1, 0, 2, 900, 4)),
                List.of(new OrganisationStatus("radio-litoral", 5, 1)));
        byte[] body = ObjectMapper.getDefault().writeValueAsBytes(status);
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/-/status", exchange -> {
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        String address = "127.0.0.1:" + server.getAddress().getPort();
        try (HttpFleetClient fleetClient = new HttpFleetClient()) {
            assertThat(fleetClient.readStatus(address).get()).isEqualTo(status);
            server.stop(0);
            assertThat(fleetClient.readStatus(address).isLeft()).isTrue();
        }
    }
}
