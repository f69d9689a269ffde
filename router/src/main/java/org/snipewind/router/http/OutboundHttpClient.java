package org.snipewind.router.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Calls to the platform and orders to targets over kept connections; all work runs on one event loop. */
public final class OutboundHttpClient {

    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int CONNECT_MILLIS = 500;

    /** A connection is used again only if it was idle for less than this part of the server's idle time. */
    private static final double IDLE_PART = 0.6;

    private record Idle(HttpConnection connection, long sinceNanos) {}

    private final EventLoop loop;
    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

    /**
     * Creates a caller.
     *
     * @param loop event loop for the connections, on which the results complete
     */
    public OutboundHttpClient(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Sends a request.
     *
     * @param address address of the server
     * @param request the request
     * @param timeoutMillis longest time until the answer is whole
     * @return the answer; fails with {@link ExchangeException}, after which the connection was reset
     */
    public CompletableFuture<BufferedResponse> call(
            InetSocketAddress address, FullHttpRequest request, long timeoutMillis) {
        Call call = new Call(address, request);
        if (loop.inEventLoop()) {
            call.start(timeoutMillis);
        } else {
            loop.execute(() -> call.start(timeoutMillis));
        }
        return call.result;
    }

    /** One call with the connection that it uses. */
    private final class Call implements ExchangeListener {

        private final InetSocketAddress address;
        private final FullHttpRequest request;
        private final CompletableFuture<BufferedResponse> result = new CompletableFuture<>();
        private HttpConnection connection;
        private boolean ended;

        Call(InetSocketAddress address, FullHttpRequest request) {
            this.address = address;
            this.request = request;
        }

        void start(long timeoutMillis) {
            loop.schedule(() -> expire(timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
            HttpConnection kept = takeIdle();
            if (kept != null) {
                use(kept);
                return;
            }
            HttpConnector.open(
                    loop,
                    address,
                    (int) Math.min(CONNECT_MILLIS, timeoutMillis),
                    MAX_ANSWER_BYTES,
                    () -> {},
                    this::use,
                    cause -> end(
                            new ExchangeException("no connection to " + address + ": " + cause.getMessage(), false)));
        }

        private HttpConnection takeIdle() {
            Deque<Idle> kept = idle.getOrDefault(address, new ArrayDeque<>());
            while (!kept.isEmpty()) {
                Idle newest = kept.pollLast();
                long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - newest.sinceNanos());
                if (newest.connection().isReusable()
                        && idleMillis < newest.connection().idleMillis() * IDLE_PART) {
                    return newest.connection();
                }
                newest.connection().abort();
            }
            return null;
        }

        private void use(HttpConnection opened) {
            if (ended) {
                request.release();
                opened.abort();
                return;
            }
            connection = opened;
            opened.exchange(request, ResponseMatcher.ANY, this);
        }

        private void expire(long timeoutMillis) {
            if (!ended) {
                boolean sent = connection != null;
                if (sent) {
                    connection.abort();
                }
                end(new ExchangeException("no answer from " + address + " within " + timeoutMillis + " ms", sent));
            }
        }

        @Override
        public void responseReceived(BufferedResponse answer) {
            if (ended) {
                return;
            }
            ended = true;
            if (connection.isReusable()) {
                Deque<Idle> kept = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
                kept.addLast(new Idle(connection, System.nanoTime()));
                if (kept.size() > MAX_IDLE_CONNECTIONS) {
                    kept.pollFirst().connection().abort();
                }
            }
            result.complete(answer);
        }

        @Override
        public void exchangeFailed(ExchangeException cause) {
            end(cause);
        }

        private void end(ExchangeException cause) {
            if (!ended) {
                ended = true;
                result.completeExceptionally(cause);
            }
        }
    }
}
