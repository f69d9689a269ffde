package org.snipewind.router.path;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.PoolShare;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RouteKind;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.router.http.BufferMemory;
import org.snipewind.router.http.BufferedResponse;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.memory.ClientMemory;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.HeaderCodec;
import org.snipewind.router.port.RequestHeaders;
import org.snipewind.router.port.ResponseHeaders;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreKeys;

/** A worker with an event loop, a simplified configuration and HTTP servers as targets. */
final class RoutingFixture {

    static final String KEYED_POOL = "keyed";
    static final String PLAIN_POOL = "plain";
    static final long OBJECTIVE_MILLIS = 200;
    /** Latency objective of the routes whose requests wait longer for room. */
    static final long PATIENT_OBJECTIVE_MILLIS = 2_000;

    static final long MAX_WAIT_MILLIS = 5_000;
    static final long MAX_RESPONSE_MEMORY_BYTES = 1 << 20;
    static final long MAX_REQUEST_MEMORY_BYTES = 1 << 20;
    static final long MAX_CLIENT_MEMORY_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 100;

    /** Bodies are kept on the heap only. */
    private static final long LARGE_BODY_BYTES = 0;

    private static final long SMALL_REQUEST_BYTES = 32 * 1024;
    private static final double LINK_MEGABITS = 10;

    final MillisClock clock = new SystemMillisClock();
    final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = loops.next();
    /** Serves one connection of a target. */
    @FunctionalInterface
    interface ConnectionHandler {
        void serve(Socket connection) throws IOException, InterruptedException;
    }

    /** A task of a target. */
    @FunctionalInterface
    private interface BlockingTask {
        void run() throws IOException, InterruptedException;
    }

    private final ExecutorService serverThreads = Executors.newCachedThreadPool();
    private final List<Closeable> openSockets = new CopyOnWriteArrayList<>();
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final FleetTracker tracker = new FleetTracker(new TestStoreItemParser(), clock, log);
    final RouterLimits limits = new RouterLimits(1, 10_000, 10, 1.5, 5);
    final RoutingContext context = new RoutingContext(
            tracker,
            new SharedRoutingState(tracker, clock, limits, "entry"),
            new OrganisationRateLimiter(
                    tracker,
                    clock,
                    loop,
                    request -> CompletableFuture.completedFuture(new BudgetGrant(true, request.tokens(), 0))),
            new BufferMemory(MAX_REQUEST_MEMORY_BYTES, SMALL_REQUEST_BYTES),
            new ClientResources(
                    new ClientMemory(MAX_CLIENT_MEMORY_BYTES), new BufferMemory(LARGE_BODY_BYTES, 0), MAX_CONNECTIONS),
            new BufferMemory(MAX_RESPONSE_MEMORY_BYTES),
            new TestHeaderCodec(),
            clock,
            new ProcessMetrics(),
            log,
            "dc",
            LINK_MEGABITS);
    final Worker worker = new Worker(loop, context);
    private long revision = 1;

    RoutingFixture() {
        tracker.itemChanged(new StoreItem("config", new byte[0], 1, 0));
        tracker.changesApplied();
    }

    void stop() throws IOException {
        for (Closeable socket : openSockets) {
            socket.close();
        }
        servers.forEach(server -> server.stop(0));
        serverThreads.shutdownNow();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    void addTarget(String id, String pool, com.sun.net.httpserver.HttpHandler handler) throws Exception {
        addTargetIn("dc", id, pool, handler);
    }

    /** Starts a target in a data centre; that of the instance is named dc. */
    void addTargetIn(String dataCentre, String id, String pool, com.sun.net.httpserver.HttpHandler handler)
            throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(serverThreads);
        server.createContext("/", handler);
        server.start();
        servers.add(server);
        register(id, pool, server.getAddress().getPort(), dataCentre);
    }

    /** Registers a target that listens on a port of this machine. */
    void addTarget(String id, String pool, int port) throws Exception {
        register(id, pool, port, "dc");
    }

    private void register(String id, String pool, int port, String dataCentre) throws Exception {
        String registration = pool + " " + port + " " + dataCentre;
        runOnLoop(() -> tracker.itemChanged(new StoreItem("target/" + id, registration.getBytes(), ++revision, 0)));
    }

    /** Starts a target whose connections are served by a handler, each in a thread of its own, and closed after it. */
    void addSocketTarget(String id, String pool, ConnectionHandler handler) throws Exception {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        openSockets.add(listener);
        addTarget(id, pool, listener.getLocalPort());
        execute(() -> {
            while (!listener.isClosed()) {
                Socket connection = listener.accept();
                openSockets.add(connection);
                execute(() -> {
                    try (connection) {
                        handler.serve(connection);
                    }
                });
            }
        });
    }

    /** Reads the head of a request; returns false if the connection ends before it is complete. */
    static boolean readHead(Socket connection) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = connection.getInputStream().read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().flush();
    }

    /** Serves a request of a caller, with an id or without one. */
    Outcome send(String path, Optional<String> requestId) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "h");
        requestId.ifPresent(id -> headers.set("Id", id));
        Outcome outcome = new Outcome();
        loop.execute(
                () -> worker.serve(new CallerRequest(HttpMethod.GET, path, headers, RequestBody.empty()), outcome));
        return outcome;
    }

    private void execute(BlockingTask task) {
        serverThreads.execute(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection or the listener was closed.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    void assign(KeyAssignment assignment) throws Exception {
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

    static void sendResponse(HttpExchange exchange, int status, boolean executed) throws IOException {
        exchange.getResponseHeaders().set("Id", "1");
        exchange.getResponseHeaders().set(executed ? "Signed" : "Not-Run", "1");
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records the response to a request. */
    static final class Outcome implements Responder {
        private final CompletableFuture<String> text = new CompletableFuture<>();
        volatile boolean callerPresent = true;
        private volatile Optional<ErrorKind> refusal = Optional.empty();
        private volatile long retryAfter;
        private volatile byte[] body = new byte[0];

        @Override
        public void respond(BufferedResponse response) {
            response.memory().release();
            body = response.body();
            text.complete(Integer.toString(response.status()));
        }

        @Override
        public boolean isCallerPresent() {
            return callerPresent;
        }

        @Override
        public void refuse(ErrorKind kind, Optional<String> requestId, long retryAfterMillis) {
            refusal = Optional.of(kind);
            retryAfter = retryAfterMillis;
            text.complete(kind.wireName());
        }

        /** Returns the status of the response, or the name of the error kind of a refusal. */
        String await() throws Exception {
            return text.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        long retryAfterMillis() {
            return retryAfter;
        }

        Optional<ErrorKind> refusal() {
            return refusal;
        }

        String body() {
            return new String(body, StandardCharsets.US_ASCII);
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
                            route("/keyed/", KEYED_POOL, true),
                            route("/plain-once/", PLAIN_POOL, false),
                            route("/plain/", PLAIN_POOL, true),
                            patientRoute("/keyed-patient/", KEYED_POOL),
                            patientRoute("/patient/", PLAIN_POOL)),
                    List.of(new Pool(KEYED_POOL, true, 100, 1, "/h"), new Pool(PLAIN_POOL, false, 100, 1, "/h")),
                    List.of(),
                    CallerLimits.DEFAULT));
        }

        private static Route route(String prefix, String pool, boolean idempotent) {
            RouteKind kind = idempotent ? RouteKind.IDEMPOTENT : RouteKind.NON_IDEMPOTENT;
            return route(prefix, pool, kind, OBJECTIVE_MILLIS);
        }

        private static Route patientRoute(String prefix, String pool) {
            return route(prefix, pool, RouteKind.LARGE_REQUEST, PATIENT_OBJECTIVE_MILLIS);
        }

        private static Route route(String prefix, String pool, RouteKind kind, long objectiveMillis) {
            List<PoolShare> shares = List.of(new PoolShare(pool, 1));
            return new Route(prefix, "h", prefix, kind, 2_000, objectiveMillis, 0, shares, 2, true);
        }

        @Override
        public Either<String, TargetRegistration> parseTarget(String id, byte[] value) {
            String[] parts = new String(value).split(" ");
            return Either.right(new TargetRegistration(
                    id, 1, 1, parts[0], "127.0.0.1", Integer.parseInt(parts[1]), parts[2], 2, false, 0));
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
                    headers.getAll("Id").size() > 1,
                    headers.contains("Signed"),
                    headers.contains("Not-Run"),
                    false,
                    Optional.empty(),
                    OptionalLong.empty(),
                    headers.contains("Leaving"),
                    headers.contains("Pause") ? OptionalLong.of(headers.getInt("Pause")) : OptionalLong.empty(),
                    false);
        }

        @Override
        public void rewriteForCaller(HttpHeaders headers) {}

        @Override
        public void addRequestId(HttpHeaders headers, String requestId) {}
    }
}
