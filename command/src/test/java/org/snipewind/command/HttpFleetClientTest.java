package org.snipewind.command;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.micronaut.serde.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

    /** Guards against arguments that are not encoded, and against a reason of the instance that is dropped. */
    @Test
    void aRouteIsAskedOverHttpAndAnArgumentThatIsNamedIsReturned() throws IOException {
        List<String> queries = new ArrayList<>();
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/explain-route", exchange -> {
            queries.add(URLDecoder.decode(exchange.getRequestURI().getRawQuery(), StandardCharsets.UTF_8));
            boolean bad = exchange.getRequestURI().getQuery().contains("key=x");
            byte[] body = (bad ? "argument 'key': expected an integer\n" : "outcome: send\n").getBytes();
            exchange.getResponseHeaders().add("Content-Type", "text/plain");
            exchange.sendResponseHeaders(bad ? 400 : 200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        String address = "127.0.0.1:" + server.getAddress().getPort();
        RouteQuestion question =
                new RouteQuestion("h", "/a b/&c", "GET", List.of("A: 1&2+3", "B: 3"), Optional.of("7"), false);
        try (HttpFleetClient fleetClient = new HttpFleetClient()) {
            assertThat(fleetClient.explainRoute(address, question).get()).isEqualTo("outcome: send\n");
            assertThat(queries.get(0)).contains("path=/a b/&c&method=GET");
            assertThat(queries.get(0)).contains("header=A: 1&2+3&header=B: 3");
            RouteQuestion bad = new RouteQuestion("h", "/", "GET", List.of(), Optional.of("x"), false);
            ExplainFailure failure = fleetClient.explainRoute(address, bad).getLeft();
            assertThat(failure).isEqualTo(new ExplainFailure(true, "argument 'key': expected an integer"));
            server.stop(0);
            assertThat(fleetClient.explainRoute(address, question).getLeft().badArgument())
                    .isFalse();
        }
    }
}
