package org.snipewind.router.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.snipewind.coordination.clock.MillisClock;

/**
 * An HTTP client for requests of the router itself, to the platform and to targets. Reuses connections; all work runs
 * on one event loop.
 */
public final class OutboundHttpClient {

    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Connections are reused only if they were idle for less than this fraction of the server's idle timeout. */
    private static final double IDLE_REUSE_FRACTION = 0.6;

    /**
     * Time after bytes that belong to no request in which a server's connections are used again only if its responses
     * name their requests. A server that sends a response twice is likely to do so again soon.
     */
    private static final long SINGLE_USE_MILLIS = 5_000;

    /**
     * A connection that is not in use.
     *
     * @param namesRequests whether the last response named its request, so that the next one is expected to do so
     */
    private record IdleConnection(HttpConnection connection, long idleSinceMillis, boolean namesRequests) {}

    private final EventLoop loop;
    private final MillisClock clock;
    private final UnsolicitedBytesReporter unsolicitedBytes;

    /** Responses to the router's own requests are limited by their size only, each kind by its rules. */
    private final BufferMemory memory = new BufferMemory(Long.MAX_VALUE);

    private final Map<InetSocketAddress, Deque<IdleConnection>> idleConnections = new HashMap<>();

    /** Servers that have sent bytes that belong to no request, and when. */
    private final Map<InetSocketAddress, Long> unsolicitedSinceMillis = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param loop event loop of the connections, on which the results are completed
     * @param clock clock for the ages of connections and of findings
     * @param unsolicitedBytes reports bytes that belong to no request
     */
    public OutboundHttpClient(EventLoop loop, MillisClock clock, UnsolicitedBytesReporter unsolicitedBytes) {
        this.loop = loop;
        this.clock = clock;
        this.unsolicitedBytes = unsolicitedBytes;
    }

    /**
     * Sends a request to a server that responds to each request once, in their order on the connection.
     *
     * @param address address of the server
     * @param request the request
     * @param timeoutMillis longest time until the response is complete
     * @return the response; fails with {@link ExchangeException}, in which case the connection has been reset
     */
    public CompletableFuture<BufferedResponse> call(
            InetSocketAddress address, FullHttpRequest request, long timeoutMillis) {
        return call(address, request, ResponseRules.EACH_RESPONSE_ONCE, timeoutMillis);
    }

    /**
     * Sends a request to a server that may send responses late or more than once.
     *
     * @param address address of the server
     * @param request the request
     * @param rules what responses are accepted, and on which connections
     * @param timeoutMillis longest time until the response is complete
     * @return the response; fails with {@link ExchangeException}, in which case the connection has been reset
     */
    public CompletableFuture<BufferedResponse> call(
            InetSocketAddress address, FullHttpRequest request, ResponseRules rules, long timeoutMillis) {
        return call(address, RequestSource.of(request), rules, timeoutMillis);
    }

    /**
     * Sends a request that depends on the connection on which it is sent.
     *
     * @param address address of the server
     * @param request supplies the request on the client's event loop; if there is none, the call fails
     * @param rules what responses are accepted, and on which connections
     * @param timeoutMillis longest time until the response is complete
     * @return the response; fails with {@link ExchangeException}, in which case the connection has been reset
     */
    public CompletableFuture<BufferedResponse> call(
            InetSocketAddress address, RequestSource request, ResponseRules rules, long timeoutMillis) {
        Call call = new Call(address, request, rules);
        if (loop.inEventLoop()) {
            call.start(timeoutMillis);
        } else {
            loop.execute(() -> call.start(timeoutMillis));
        }
        return call.result;
    }

    private Consumer<UnsolicitedBytes> unsolicitedBytesFrom(InetSocketAddress address) {
        Consumer<UnsolicitedBytes> reported =
                unsolicitedBytes.forServer(address.getHostString() + ":" + address.getPort());
        return found -> {
            unsolicitedSinceMillis.put(address, clock.nowMillis());
            reported.accept(found);
        };
    }

    private boolean hasSentUnsolicitedBytes(InetSocketAddress address) {
        unsolicitedSinceMillis.values().removeIf(since -> clock.nowMillis() - since >= SINGLE_USE_MILLIS);
        return unsolicitedSinceMillis.containsKey(address);
    }

    /** One request and the connection on which it is sent. */
    private final class Call implements ExchangeListener {

        private final InetSocketAddress address;
        private final RequestSource request;
        private final ResponseRules rules;
        private final CompletableFuture<BufferedResponse> result = new CompletableFuture<>();
        private HttpConnection connection;
        private boolean ended;

        /** Whether the response must be tied to the request. */
        private boolean tied;

        Call(InetSocketAddress address, RequestSource request, ResponseRules rules) {
            this.address = address;
            this.request = request;
            this.rules = rules;
        }

        void start(long timeoutMillis) {
            // Bytes on any of the connections tell whether the others may be used again.
            idleConnections
                    .getOrDefault(address, new ArrayDeque<>())
                    .forEach(idle -> idle.connection().readPending());
            tied = rules.tied() || hasSentUnsolicitedBytes(address);
            loop.schedule(() -> onTimeout(timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
            HttpConnection idleConnection = takeIdle();
            if (idleConnection != null) {
                sendOn(idleConnection);
                return;
            }
            HttpConnector.open(
                    loop,
                    address,
                    (int) Math.min(CONNECT_TIMEOUT_MILLIS, timeoutMillis),
                    new ConnectionOptions(rules.maxBytes(), memory, clock, unsolicitedBytesFrom(address), () -> {}),
                    this::sendOn,
                    this::connectFailed);
        }

        private void connectFailed(Throwable cause) {
            request.discard();
            fail(new ExchangeException("connection to " + address + " failed: " + cause.getMessage(), false));
        }

        private HttpConnection takeIdle() {
            Iterator<IdleConnection> newestFirst =
                    idleConnections.getOrDefault(address, new ArrayDeque<>()).descendingIterator();
            while (newestFirst.hasNext()) {
                IdleConnection newest = newestFirst.next();
                if (tied && !newest.namesRequests()) {
                    continue;
                }
                newestFirst.remove();
                long idleMillis = clock.nowMillis() - newest.idleSinceMillis();
                if (newest.connection().isReusable()
                        && idleMillis < newest.connection().serverIdleTimeoutMillis() * IDLE_REUSE_FRACTION) {
                    return newest.connection();
                }
                newest.connection().abort();
            }
            return null;
        }

        private void sendOn(HttpConnection opened) {
            if (ended) {
                request.discard();
                opened.abort();
                return;
            }
            Optional<FullHttpRequest> supplied = request.requestOn(opened.number());
            if (supplied.isEmpty()) {
                opened.abort();
                fail(new ExchangeException("there is no request for the connection to " + address, false));
                return;
            }
            connection = opened;
            opened.exchange(supplied.get(), (status, headers) -> originOf(headers), this);
        }

        private ResponseOrigin originOf(HttpHeaders headers) {
            ResponseOrigin origin = rules.originOf().apply(headers);
            boolean attributable = !tied || connection.isFirstExchange();
            return origin == ResponseOrigin.UNKNOWN && attributable ? ResponseOrigin.THIS_REQUEST : origin;
        }

        private void onTimeout(long timeoutMillis) {
            if (!ended) {
                boolean possiblySent = connection != null;
                if (possiblySent) {
                    connection.abort();
                }
                fail(new ExchangeException(
                        "no response from " + address + " within " + timeoutMillis + " ms", possiblySent));
            }
        }

        @Override
        public void responseReceived(BufferedResponse response) {
            response.memory().release();
            if (ended) {
                return;
            }
            ended = true;
            boolean namesRequests = rules.originOf().apply(response.headers()) == ResponseOrigin.THIS_REQUEST;
            if (!namesRequests && (tied || rules.isRejection().test(response.status()))) {
                connection.abort();
            } else if (connection.isReusable()) {
                Deque<IdleConnection> idleToAddress =
                        idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
                idleToAddress.addLast(new IdleConnection(connection, clock.nowMillis(), namesRequests));
                if (idleToAddress.size() > MAX_IDLE_CONNECTIONS) {
                    idleToAddress.pollFirst().connection().abort();
                }
            }
            result.complete(response);
        }

        @Override
        public void exchangeFailed(ExchangeException cause) {
            fail(cause);
        }

        private void fail(ExchangeException cause) {
            if (!ended) {
                ended = true;
                result.completeExceptionally(cause);
            }
        }
    }
}
