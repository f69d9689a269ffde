package org.snipewind.router.path;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.RoutingConfiguration;

/** Accepts the connections of callers and spreads them over the workers. */
public final class CallerServer {

    private static final int BACKLOG = 1_024;

    private final EventLoopGroup acceptors;
    private final EventLoopGroup loops;
    private final RoutingContext context;
    private final Map<EventLoop, Worker> workers = new ConcurrentHashMap<>();
    private final Set<CallerChannel> channels = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answersInProgress = new AtomicInteger();
    private Channel listening;
    private volatile boolean draining;

    /**
     * Creates a server that does not listen yet.
     *
     * @param acceptors loop that accepts connections
     * @param loops the pool of worker loops
     * @param context what the workers share
     */
    public CallerServer(EventLoopGroup acceptors, EventLoopGroup loops, RoutingContext context) {
        this.acceptors = acceptors;
        this.loops = loops;
        this.context = context;
    }

    /**
     * Starts to listen; must not be called on a network thread.
     *
     * @param address address to listen on
     * @return the address with the actual port
     */
    public InetSocketAddress start(InetSocketAddress address) {
        listening = new ServerBootstrap()
                .group(acceptors, loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until nothing is left, so that the end of a connection shows together with its last request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        add(accepted);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listening.localAddress();
    }

    private void add(Channel accepted) {
        Worker worker = workers.computeIfAbsent(accepted.eventLoop(), loop -> new Worker((EventLoop) loop, context));
        CallerChannel channel = new CallerChannel(worker, this);
        channels.add(channel);
        int headerBytes = context.tracker()
                .view()
                .configuration()
                .map(RoutingConfiguration::limits)
                .orElse(CallerLimits.DEFAULT)
                .maxHeaderBytes();
        accepted.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext handler, Object message) {
                                if (message instanceof ByteBuf) {
                                    channel.bytesArrived();
                                }
                                handler.fireChannelRead(message);
                            }
                        },
                        new StrictRequestDecoder(headerBytes),
                        new HttpResponseEncoder(),
                        channel);
    }

    /** Refuses messages with two framings, which the decoder would repair by dropping one of them. */
    private static final class StrictRequestDecoder extends HttpRequestDecoder {
        StrictRequestDecoder(int maxHeaderBytes) {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(maxHeaderBytes)
                    .setMaxHeaderSize(maxHeaderBytes)
                    .setAllowDuplicateContentLengths(false));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are set");
        }
    }

    /** Ends each connection after its present request from now on. */
    public void drain() {
        draining = true;
    }

    /** Stops to accept connections; must not be called on a network thread. */
    public void closeListener() {
        listening.close().awaitUninterruptibly();
    }

    /** Closes connections without a request. */
    public void closeIdle() {
        channels.forEach(channel -> channel.worker().loop().execute(channel::closeIfIdle));
    }

    /**
     * Tells whether requests are in progress or answers are being written.
     *
     * @return true while work would be cut by an end of the process
     */
    public boolean isBusy() {
        return answersInProgress.get() > 0 || workers.values().stream().anyMatch(worker -> worker.inProgress() > 0);
    }

    /**
     * Counts open connections.
     *
     * @return number of connections of callers
     */
    public int connections() {
        return channels.size();
    }

    boolean isDraining() {
        return draining;
    }

    void answerStarted() {
        answersInProgress.incrementAndGet();
    }

    void answerEnded() {
        answersInProgress.decrementAndGet();
    }

    void closed(CallerChannel channel) {
        channels.remove(channel);
    }
}
