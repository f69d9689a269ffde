package org.snipewind.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The connection to one address and the calls on it. All state but {@link #peerId()} belongs to the link's event loop,
 * on which the connection runs too, so there are no locks.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Timers report through the calls that they end.
final class PeerLink {

    /** Numbers of timed-out calls that are remembered to tell late answers from unknown ones. */
    private static final int MAX_EXPIRED = 4_096;

    private static final int MAX_DOUBLINGS = 20;

    private final String address;
    private final PeerSettings settings;
    private final EventLoop loop;
    private final Map<Long, OutboundCall> waiting = new LinkedHashMap<>();
    private final Map<Long, OutboundCall> inFlight = new HashMap<>();
    private final Map<Long, OutboundCall> blocked = new HashMap<>();
    private final Map<Long, Boolean> expired = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_EXPIRED;
        }
    };
    private volatile Optional<String> peerId = Optional.empty();
    private ClientChannelHandler session;
    private Channel channel;
    private LinkState state = LinkState.IDLE;
    private long waitingBytes;
    private int losses;

    PeerLink(String address, PeerSettings settings, EventLoop loop) {
        this.address = address;
        this.settings = settings;
        this.loop = loop;
    }

    EventLoop loop() {
        return loop;
    }

    Optional<String> peerId() {
        return peerId;
    }

    /** Sends a message now, after the connection is open, or never; each case is reported through its future. */
    void submit(OutboundCall call, long timeoutMillis) {
        if (call.expectsAnswer()) {
            call.endBy(loop.schedule(() -> expire(call, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS));
        }
        if (state != LinkState.CLOSED && !settings.linkFilter().allows(address)) {
            // As in a real partition, the sender learns nothing before the timeout.
            if (call.expectsAnswer()) {
                (state == LinkState.OPEN ? inFlight : blocked).put(call.number(), call);
            }
            return;
        }
        switch (state) {
            case OPEN -> write(call);
            case CONNECTING -> enqueue(call);
            case IDLE -> {
                enqueue(call);
                connect();
            }
            case BACKOFF -> call.fail("waiting before the next connection to " + address, false, null);
            case CLOSED -> call.fail("connections are closed", false, null);
            default -> throw new IllegalStateException("unknown state " + state);
        }
    }

    void opened(ClientChannelHandler newSession) {
        session = newSession;
        peerId = Optional.of(newSession.peerId());
        state = LinkState.OPEN;
        List<OutboundCall> calls = drain(waiting);
        waitingBytes = 0;
        calls.forEach(this::write);
    }

    void answered(long number, PeerMessage message) {
        // An authenticated answer shows that the peer serves, so the next loss starts with the shortest wait.
        losses = 0;
        OutboundCall call = inFlight.remove(number);
        if (call != null) {
            call.complete(message);
        } else if (expired.remove(number) != null) {
            settings.counters().increment(PeerEvent.LATE_ANSWER);
        } else {
            settings.counters().increment(PeerEvent.UNKNOWN_ANSWER);
        }
    }

    void lost(Optional<Throwable> cause) {
        if (state == LinkState.CLOSED) {
            return;
        }
        session = null;
        channel = null;
        state = LinkState.BACKOFF;
        // Full jitter keeps the daemons that lost the same peer from connecting to it at the same moments.
        long bound = Math.min(
                settings.limits().backoffCapMillis(),
                (long) settings.limits().backoffBaseMillis() << Math.min(losses, MAX_DOUBLINGS));
        losses++;
        loop.schedule(this::endBackoff, ThreadLocalRandom.current().nextLong(bound + 1), TimeUnit.MILLISECONDS);
        failAll("connection to " + address + " was lost", cause.orElse(null));
    }

    void close() {
        state = LinkState.CLOSED;
        if (channel != null) {
            PeerChannelHandler.close(channel);
        }
        failAll("connections were closed", null);
        drain(blocked).forEach(call -> call.fail("connections were closed", false, null));
    }

    private void endBackoff() {
        if (state == LinkState.BACKOFF) {
            state = LinkState.IDLE;
        }
    }

    private void write(OutboundCall call) {
        if (!session.context().channel().isWritable()) {
            settings.counters().increment(PeerEvent.SEND_LIMIT);
            call.fail("too many bytes wait to be sent to " + address, false, null);
            return;
        }
        if (call.expectsAnswer()) {
            inFlight.put(call.number(), call);
        }
        session.writeFrame(call.body(), call.isForwarding());
    }

    private void enqueue(OutboundCall call) {
        if (waitingBytes + call.body().length > settings.limits().unsentBytes()) {
            settings.counters().increment(PeerEvent.SEND_LIMIT);
            call.fail("too many bytes wait for the connection to " + address, false, null);
            return;
        }
        waitingBytes += call.body().length;
        waiting.put(call.number(), call);
    }

    private void expire(OutboundCall call, long timeoutMillis) {
        blocked.remove(call.number());
        boolean sent = inFlight.remove(call.number()) != null;
        if (sent) {
            expired.put(call.number(), true);
        } else if (waiting.remove(call.number()) != null) {
            waitingBytes -= call.body().length;
        }
        String problem = "no answer from " + address + " within " + timeoutMillis + " ms";
        call.fail(problem, sent, new TimeoutException(problem));
    }

    private void connect() {
        state = LinkState.CONNECTING;
        InetSocketAddress target;
        try {
            target = parse(address);
        } catch (IllegalArgumentException e) {
            settings.counters().increment(PeerEvent.CONNECT_FAILED);
            lost(Optional.of(e));
            return;
        }
        ChannelFuture opening = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.limits().connectMillis())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                settings.limits().unsentBytes() / 2,
                                settings.limits().unsentBytes()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        new ClientChannelHandler(settings, PeerLink.this)
                                .install(
                                        created.pipeline(),
                                        // The certificate is checked against the host, which is thus given here.
                                        settings.clientTls()
                                                .map(tls -> tls.newHandler(
                                                        created.alloc(), target.getHostString(), target.getPort())));
                    }
                })
                .connect(target);
        channel = opening.channel();
        opening.addListener((ChannelFutureListener) done -> {
            if (!done.isSuccess()) {
                settings.counters().increment(PeerEvent.CONNECT_FAILED);
                lost(Optional.of(done.cause()));
            } else if (state == LinkState.CLOSED) {
                PeerChannelHandler.close(done.channel());
            }
        });
    }

    private static InetSocketAddress parse(String address) {
        URI parsed = URI.create("tcp://" + address);
        if (parsed.getHost() == null) {
            throw new IllegalArgumentException(address + " is not a host and a port");
        }
        return new InetSocketAddress(parsed.getHost(), parsed.getPort());
    }

    private void failAll(String problem, Throwable cause) {
        List<OutboundCall> unsent = drain(waiting);
        List<OutboundCall> sent = drain(inFlight);
        waitingBytes = 0;
        expired.clear();
        unsent.forEach(call -> call.fail(problem, false, cause));
        sent.forEach(call -> call.fail(problem, true, cause));
    }

    // The calls leave the table first, because a failed call may submit another one.
    private static List<OutboundCall> drain(Map<Long, OutboundCall> calls) {
        List<OutboundCall> drained = new ArrayList<>(calls.values());
        calls.clear();
        return drained;
    }
}
