package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.PoolShare;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.HeaderCodec;
import org.snipewind.router.port.RequestHeaders;
import org.snipewind.router.port.ResponseHeaders;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;

/**
 * Guards against requests that run twice, that run for callers who have disconnected, or that are refused as not run
 * although they ran.
 */
final class RoutedRequestTest {

    private static final String KEYED_POOL = "keyed";
    private static final String PLAIN_POOL = "plain";
    private static final long MAX_WAIT_MILLIS = 5_000;

    private final MillisClock clock = new SystemMillisClock();
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final ExecutorService serverThreads = Executors.newCachedThreadPool();
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final List<String> servedBy = new CopyOnWriteArrayList<>();
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final FleetTracker tracker = new FleetTracker(new TestStoreItemParser(), clock, log);
    private final RoutingContext context = new RoutingContext(
            tracker,
            new SharedRoutingState(tracker, clock, new RouterLimits(1, 10_000, 10, 1.5, 5), "entry"),
            new OrganisationRateLimiter(
                    tracker,
                    clock,
                    loop,
                    (name, tokenCount) -> CompletableFuture.completedFuture(new BudgetGrant(true, tokenCount, 0))),
            new TestHeaderCodec(),
            clock,
            new ProcessMetrics(),
            log,
            "dc");
    private final Worker worker = new Worker(loop, context);
    private long revision = 1;

    RoutedRequestTest() {
        tracker.itemChanged(new StoreItem("config", new byte[0], 1, 0));
        tracker.changesApplied();
    }

    @AfterEach
    void stop() {
        servers.forEach(server -> server.stop(0));
        serverThreads.shutdownNow();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void aRequestThatWaitedForItsOwnerIsSentOnce() throws Exception {
        addTarget("a", KEYED_POOL, exchange -> {
            servedBy.add("a");
            pause(900);
            sendResponse(exchange, 200, true);
        });
        assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of("b@1")));
        Outcome outcome = send("/keyed-once/x");
        pause(150);
        assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        assertThat(outcome.await()).isEqualTo("200");
        assertThat(servedBy).containsExactly("a");
    }

    @Test
    void aRequestForAKeyThatKeepsMovingIsRefusedBeforeItsDeadline() throws Exception {
        addTarget("a", KEYED_POOL, exchange -> sendResponse(exchange, 200, true));
        assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of("b@1")));
        long start = clock.nowMillis();
        assertThat(send("/keyed-once/x").await()).isEqualTo("owner-unavailable");
        assertThat(clock.nowMillis() - start).isLessThan(1_000);
    }

    @Test
    void aNonIdempotentRequestIsNotRetriedAfterALostResponse() throws Exception {
        for (String id : List.of("a", "b")) {
            addTarget(id, PLAIN_POOL, exchange -> {
                servedBy.add(id);
                exchange.close();
            });
        }
        assertThat(send("/plain-once/x").await()).isEqualTo("target-lost");
        assertThat(servedBy).hasSize(1);
    }

    @Test
    void anIdempotentRequestIsRetriedAtAnotherTargetAfterALostResponse() throws Exception {
        addTarget("a", PLAIN_POOL, exchange -> {
            servedBy.add("a");
            if (servedBy.size() == 1) {
                exchange.close();
            } else {
                sendResponse(exchange, 200, true);
            }
        });
        addTarget("b", PLAIN_POOL, exchange -> {
            servedBy.add("b");
            if (servedBy.size() == 1) {
                exchange.close();
            } else {
                sendResponse(exchange, 200, true);
            }
        });
        assertThat(send("/plain/x").await()).isEqualTo("200");
        assertThat(servedBy).containsExactly("a", "b");
    }

    @Test
    void aNonIdempotentRequestIsRetriedAtAnotherTargetAfterARejection() throws Exception {
        addTarget("a", PLAIN_POOL, exchange -> sendResponse(exchange, 503, false));
        addTarget("b", PLAIN_POOL, exchange -> {
            servedBy.add("b");
            sendResponse(exchange, 200, true);
        });
        for (int each = 0; each < 5; each++) {
            assertThat(send("/plain-once/x").await()).isEqualTo("200");
        }
        assertThat(servedBy).hasSize(5);
    }

    @Test
    void aRequestWithoutATargetIsRefusedAtOnce() throws Exception {
        long start = clock.nowMillis();
        assertThat(send("/plain/x").await()).isEqualTo("pool-unavailable");
        assertThat(clock.nowMillis() - start).isLessThan(500);
    }

    @Test
    void aRequestWithoutAResponseBeforeItsDeadlineHasAnUnknownOutcome() throws Exception {
        addTarget("a", PLAIN_POOL, exchange -> {
            servedBy.add("a");
            pause(3_000);
        });
        assertThat(send("/plain-once/x").await()).isEqualTo("deadline-after-send");
    }

    @Test
    void aRequestOfADisconnectedCallerIsNotSent() throws Exception {
        addTarget("a", KEYED_POOL, exchange -> {
            servedBy.add("a");
            sendResponse(exchange, 200, true);
        });
        assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of("b@1")));
        Outcome outcome = send("/keyed-once/x");
        pause(100);
        outcome.callerPresent = false;
        assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        pause(300);
        assertThat(servedBy).isEmpty();
    }

    @Test
    void anIdempotentRequestIsHedgedIfItsTargetIsSlow() throws Exception {
        addTarget("a", PLAIN_POOL, exchange -> {
            servedBy.add("a");
            pause(servedBy.size() == 1 ? 1_500 : 0);
            sendResponse(exchange, 200, true);
        });
        addTarget("b", PLAIN_POOL, exchange -> {
            servedBy.add("b");
            pause(servedBy.size() == 1 ? 1_500 : 0);
            sendResponse(exchange, 200, true);
        });
        long start = clock.nowMillis();
        assertThat(send("/plain/x").await()).isEqualTo("200");
        assertThat(clock.nowMillis() - start).isLessThan(1_000);
        assertThat(servedBy).hasSize(2);
    }

    /** Records the response to a request. */
    private static final class Outcome implements Responder {
        private final CompletableFuture<String> text = new CompletableFuture<>();
        private volatile boolean callerPresent = true;

        @Override
        public void respond(BufferedResponse response) {
            text.complete(Integer.toString(response.status()));
        }

        @Override
        public boolean isCallerPresent() {
            return callerPresent;
        }

        @Override
        public void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
            text.complete(kind.wireName());
        }

        String await() throws Exception {
            return text.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private Outcome send(String path) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "h").set("Id", "1");
        Outcome outcome = new Outcome();
        loop.execute(() -> worker.serve(new CallerRequest(HttpMethod.GET, path, headers, new byte[0]), outcome));
        return outcome;
    }

    private void addTarget(String id, String pool, com.sun.net.httpserver.HttpHandler handler) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(serverThreads);
        server.createContext("/", handler);
        server.start();
        servers.add(server);
        String registration = pool + " " + server.getAddress().getPort();
        runOnLoop(() -> tracker.itemChanged(new StoreItem("target/" + id, registration.getBytes(), ++revision, 0)));
    }

    private void assign(KeyAssignment assignment) throws Exception {
        byte[] table = RecordCodec.encode(new KeyTable(List.of(assignment)));
        runOnLoop(() ->
                tracker.itemChanged(new StoreItem(StoreKeys.KEY_TABLE_PREFIX + KEYED_POOL, table, ++revision, 0)));
    }

    private void runOnLoop(Runnable change) throws Exception {
        loop.submit(() -> {
                    change.run();
                    tracker.changesApplied();
                })
                .get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void sendResponse(HttpExchange exchange, int status, boolean executed) throws IOException {
        exchange.getResponseHeaders().set("Id", "1");
        exchange.getResponseHeaders().set(executed ? "Signed" : "Not-Run", "1");
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Parses the simplified store items of this test. */
    private static final class TestStoreItemParser implements StoreItemParser {
        @Override
        public Optional<Kind> kindOf(String key) {
            return Optional.of(key.equals("config") ? Kind.CONFIGURATION : Kind.TARGET);
        }

        @Override
        public String entityIdOf(String key) {
            return key.substring(key.indexOf('/') + 1);
        }

        @Override
        public Either<String, RoutingConfiguration> parseConfiguration(byte[] value) {
            return Either.right(new RoutingConfiguration(
                    1,
                    List.of(
                            route("/keyed-once/", KEYED_POOL, false),
                            route("/plain-once/", PLAIN_POOL, false),
                            route("/plain/", PLAIN_POOL, true)),
                    List.of(new Pool(KEYED_POOL, true, 100, 1, "/h"), new Pool(PLAIN_POOL, false, 100, 1, "/h")),
                    List.of(),
                    CallerLimits.DEFAULT));
        }

        private static Route route(String prefix, String pool, boolean idempotent) {
            return new Route(prefix, "h", prefix, idempotent, 2_000, 200, 0, List.of(new PoolShare(pool, 1)), 2, true);
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            String[] parts = new String(value).split(" ");
            return Either.right(new TargetRegistration(
                    id, 1, 1, parts[0], "127.0.0.1", Integer.parseInt(parts[1]), "dc", 2, false, 0));
        }
    }

    /** Uses simplified header names; all requests have the key 5. */
    private static final class TestHeaderCodec implements HeaderCodec {
        @Override
        public RequestHeaders readRequest(HttpHeaders headers) {
            return new RequestHeaders(
                    Optional.ofNullable(headers.get("Id")),
                    OptionalLong.of(2_000),
                    Optional.empty(),
                    OptionalInt.of(5));
        }

        @Override
        public void rewriteForTarget(
                HttpHeaders headers, String targetId, Optional<String> organisation, long remainingMillis) {
            headers.set("Target", targetId);
        }

        @Override
        public ResponseHeaders readResponse(int status, HttpHeaders headers) {
            return new ResponseHeaders(
                    Optional.ofNullable(headers.get("Id")),
                    headers.contains("Signed"),
                    headers.contains("Not-Run"),
                    false,
                    Optional.empty(),
                    OptionalLong.empty());
        }

        @Override
        public void rewriteForCaller(HttpHeaders headers) {}

        @Override
        public void addRequestId(HttpHeaders headers, String requestId) {}
    }
}
