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
 * The link to one peer address: opens a connection when a message is to be sent, reopens it after a loss, and matches
 * answers to calls. All state except {@link #peerId()} is confined to the link's event loop, on which its connection
 * runs too, so there are no locks.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A timer reports through the call that it fails.
final class PeerLink {

    /** Largest number of timed-out calls whose numbers are kept, to tell a late answer from one to no call at all. */
    private static final int MAX_EXPIRED_CALLS = 4_096;

    private static final int MAX_BACKOFF_DOUBLINGS = 20;

    private final String address;
    private final PeerSettings settings;
    private final EventLoop eventLoop;
    private final Map<Long, OutboundCall> queuedCalls = new LinkedHashMap<>();
    private final Map<Long, OutboundCall> inFlightCalls = new HashMap<>();
    private final Map<Long, OutboundCall> filteredCalls = new HashMap<>();
    private final Map<Long, Boolean> expiredCallNumbers = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_EXPIRED_CALLS;
        }
    };
    private volatile Optional<String> peerId = Optional.empty();
    private ClientChannelHandler handler;
    private Channel channel;
    private LinkState state = LinkState.IDLE;
    private long queuedBytes;
    private int consecutiveLosses;

    PeerLink(String address, PeerSettings settings, EventLoop eventLoop) {
        this.address = address;
        this.settings = settings;
        this.eventLoop = eventLoop;
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    Optional<String> peerId() {
        return peerId;
    }

    /**
     * Sends a message, or queues it until the connection is open. The future of the call reports the answer or the
     * failure.
     */
    void submit(OutboundCall call, long timeoutMillis) {
        if (call.expectsAnswer()) {
            call.setTimeout(
                    eventLoop.schedule(() -> expire(call, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS));
        }
        if (state != LinkState.CLOSED && !settings.linkFilter().allows(address)) {
            // As in a real partition, the sender notices nothing before the timeout.
            if (call.expectsAnswer()) {
                (state == LinkState.OPEN ? inFlightCalls : filteredCalls).put(call.callNumber(), call);
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
            case BACKOFF -> call.fail("in backoff before the next connection attempt to " + address, false, null);
            case CLOSED -> call.fail("peer connections are closed", false, null);
            default -> throw new IllegalStateException("unknown link state " + state);
        }
    }

    void onAuthenticated(ClientChannelHandler newHandler) {
        handler = newHandler;
        peerId = Optional.of(newHandler.peerId());
        state = LinkState.OPEN;
        List<OutboundCall> calls = removeAll(queuedCalls);
        queuedBytes = 0;
        calls.forEach(this::write);
    }

    void onAnswer(long callNumber, PeerMessage message) {
        // An authenticated answer shows that the peer is working, so the next loss starts with the shortest backoff.
        consecutiveLosses = 0;
        OutboundCall call = inFlightCalls.remove(callNumber);
        if (call != null) {
            call.complete(message);
        } else if (expiredCallNumbers.remove(callNumber) != null) {
            settings.counters().increment(PeerEvent.LATE_ANSWER);
        } else {
            settings.counters().increment(PeerEvent.UNKNOWN_ANSWER);
        }
    }

    void onConnectionLost(Optional<Throwable> cause) {
        if (state == LinkState.CLOSED) {
            return;
        }
        handler = null;
        channel = null;
        state = LinkState.BACKOFF;
        // Full jitter: processes that lost the same peer should not all reconnect to it at the same time.
        long backoffBoundMillis = Math.min(
                settings.limits().maxBackoffMillis(),
                (long) settings.limits().initialBackoffMillis() << Math.min(consecutiveLosses, MAX_BACKOFF_DOUBLINGS));
        consecutiveLosses++;
        eventLoop.schedule(
                this::endBackoff, ThreadLocalRandom.current().nextLong(backoffBoundMillis + 1), TimeUnit.MILLISECONDS);
        failAll("connection to " + address + " was lost", cause.orElse(null));
    }

    void close() {
        state = LinkState.CLOSED;
        if (channel != null) {
            PeerChannelHandler.closeLocally(channel);
        }
        failAll("peer connections were closed", null);
        removeAll(filteredCalls).forEach(call -> call.fail("peer connections were closed", false, null));
    }

    private void endBackoff() {
        if (state == LinkState.BACKOFF) {
            state = LinkState.IDLE;
        }
    }

    private void write(OutboundCall call) {
        if (!handler.context().channel().isWritable()) {
            settings.counters().increment(PeerEvent.SEND_LIMIT);
            call.fail("too many unsent bytes on the connection to " + address, false, null);
            return;
        }
        if (call.expectsAnswer()) {
            inFlightCalls.put(call.callNumber(), call);
        }
        handler.writeFrame(call.body(), call.messageName(), call.isForwarding());
    }

    private void enqueue(OutboundCall call) {
        if (queuedBytes + call.body().length > settings.limits().maxUnsentBytes()) {
            settings.counters().increment(PeerEvent.SEND_LIMIT);
            call.fail("too many bytes are queued for the connection to " + address, false, null);
            return;
        }
        queuedBytes += call.body().length;
        queuedCalls.put(call.callNumber(), call);
    }

    private void expire(OutboundCall call, long timeoutMillis) {
        filteredCalls.remove(call.callNumber());
        boolean sent = inFlightCalls.remove(call.callNumber()) != null;
        if (sent) {
            expiredCallNumbers.put(call.callNumber(), true);
        } else if (queuedCalls.remove(call.callNumber()) != null) {
            queuedBytes -= call.body().length;
        }
        String message = "no answer from " + address + " within " + timeoutMillis + " ms";
        call.fail(message, sent, new TimeoutException(message));
    }

    private void connect() {
        state = LinkState.CONNECTING;
        InetSocketAddress socketAddress;
        try {
            socketAddress = parseAddress(address);
        } catch (IllegalArgumentException e) {
            settings.counters().increment(PeerEvent.CONNECT_FAILED);
            onConnectionLost(Optional.of(e));
            return;
        }
        ChannelFuture connectFuture = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.limits().connectTimeoutMillis())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                settings.limits().maxUnsentBytes() / 2,
                                settings.limits().maxUnsentBytes()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        new ClientChannelHandler(settings, PeerLink.this)
                                .install(
                                        created.pipeline(),
                                        // The host is passed because the certificate is checked against it.
                                        settings.clientTls()
                                                .map(tls -> tls.newHandler(
                                                        created.alloc(),
                                                        socketAddress.getHostString(),
                                                        socketAddress.getPort())));
                    }
                })
                .connect(socketAddress);
        channel = connectFuture.channel();
        connectFuture.addListener((ChannelFutureListener) completed -> {
            if (!completed.isSuccess()) {
                settings.counters().increment(PeerEvent.CONNECT_FAILED);
                onConnectionLost(Optional.of(completed.cause()));
            } else if (state == LinkState.CLOSED) {
                PeerChannelHandler.closeLocally(completed.channel());
            }
        });
    }

    private static InetSocketAddress parseAddress(String address) {
        URI parsed = URI.create("tcp://" + address);
        if (parsed.getHost() == null) {
            throw new IllegalArgumentException(address + " is not of the form host:port");
        }
        return new InetSocketAddress(parsed.getHost(), parsed.getPort());
    }

    private void failAll(String message, Throwable cause) {
        List<OutboundCall> unsent = removeAll(queuedCalls);
        List<OutboundCall> sent = removeAll(inFlightCalls);
        queuedBytes = 0;
        expiredCallNumbers.clear();
        unsent.forEach(call -> call.fail(message, false, cause));
        sent.forEach(call -> call.fail(message, true, cause));
    }

    // The map is cleared before the calls are completed, because the completion of one may submit another.
    private static List<OutboundCall> removeAll(Map<Long, OutboundCall> calls) {
        List<OutboundCall> removed = new ArrayList<>(calls.values());
        calls.clear();
        return removed;
    }
}
