package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.clients.configuration.ColdStartSettings;
import org.snipewind.clients.configuration.ConfigurationCodec;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.OrganisationSettings;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.RouteSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.daemon.entry.OrganisationDirectory;
import org.snipewind.daemon.record.RecordNames;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.settings.Endpoint;
import org.snipewind.daemon.settings.PolicySettings;
import org.snipewind.daemon.settings.RequestLimits;
import org.snipewind.router.metrics.ProcessMetrics;

/** A single running daemon with one fake target, and its settings and configuration. */
final class DaemonFixture implements AutoCloseable {

    static final Charset UTF_8 = StandardCharsets.UTF_8;
    static final String KEY = "secret-key-of-acme";
    static final RequestLimits LIMITS = new RequestLimits(40, 8, 4_000, 2_000, 100, 100_000);

    final FakeTarget target = new FakeTarget();
    final MemoryStore store = new MemoryStore();
    final ProcessMetrics metrics = new ProcessMetrics();
    final DaemonSettings settings;
    final DaemonRuntime runtime;

    DaemonFixture(RequestLimits limits) throws Exception {
        store.compareAndSwap(RecordNames.CONFIGURATION, 0, revision(1, true)).get();
        settings = settings(limits);
        runtime = new DaemonRuntime(
                settings, metrics, store, ignored -> target, Optional.empty(), UnaryOperator.identity());
        runtime.start();
        await(() -> RawCaller.exchange(settings.callers(), request("GET /ready HTTP/1.1", "")).status == 200);
        target.requests.clear();
    }

    /** Builds a request with the organisation's key that asks the daemon to close the connection. */
    static String request(String line, String headers) {
        return line + "\r\nHost: daemon\r\nConnection: close\r\nSnipewind-Key: " + KEY + "\r\n" + headers + "\r\n";
    }

    RawCaller.Response call(String text) {
        return RawCaller.exchange(settings.callers(), text);
    }

    RawCaller.Response callOperatorPort(String path) {
        return RawCaller.exchange(
                settings.operators(), "GET " + path + " HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n");
    }

    void withdrawKey() throws Exception {
        assertThat(store.compareAndSwap(RecordNames.CONFIGURATION, 1, revision(2, false))
                        .get()
                        .applied())
                .isTrue();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + 15_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        runtime.close();
    }

    private static byte[] revision(long number, boolean withKey) {
        Map<String, String> keys = withKey ? Map.of("first", OrganisationDirectory.digest(KEY)) : Map.of();
        PoolSettings pool = new PoolSettings(
                false,
                true,
                100,
                30_000,
                new ColdStartSettings(100, 1),
                Map.of("desk-1", new TargetSettings("127.0.0.1:1", "north", false)));
        RouteSettings route =
                new RouteSettings("/", "desk", Optional.empty(), Set.of("GET", "HEAD"), false, Optional.empty());
        return ConfigurationCodec.encode(new ConfigurationRevision(
                number,
                "tester",
                "test",
                "writer-" + number,
                1,
                new FleetConfiguration(
                        Map.of("north", new DataCentreSettings("west", true)),
                        Map.of("desk", pool),
                        Map.of("all", route),
                        Map.of("acme", new OrganisationSettings(new BudgetSettings(10_000, 1_000), 1, keys)))));
    }

    private static DaemonSettings settings(RequestLimits limits) throws IOException {
        return new DaemonSettings(
                "daemon-1",
                "west",
                "north",
                freeEndpoint(),
                freeEndpoint(),
                freeEndpoint(),
                "an-example-secret-0123456789",
                Optional.empty(),
                List.of("127.0.0.1:1"),
                Optional.empty(),
                List.of(),
                limits,
                PolicySettings.DEFAULT,
                5_000,
                false);
    }

    static Endpoint freeEndpoint() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint("127.0.0.1", socket.getLocalPort());
        }
    }
}
