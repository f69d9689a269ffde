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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.coordination.routing.CallerLimits;
import org.snipewind.coordination.routing.RoutingConfiguration;

/** Accepts the connections of callers and distributes them over the workers. */
public final class CallerServer {

    private static final int BACKLOG = 1_024;

    private final EventLoopGroup acceptorLoops;
    private final EventLoopGroup workerLoops;
    private final RoutingContext context;
    private final Map<EventLoop, Worker> workers = new ConcurrentHashMap<>();
    private final Set<CallerChannel> channels = ConcurrentHashMap.newKeySet();
    private final AtomicInteger responsesBeingWritten = new AtomicInteger();
    private Channel listenChannel;
    private volatile boolean draining;

    /**
     * Creates a server that does not listen yet.
     *
     * @param acceptorLoops event loops that accept connections
     * @param workerLoops event loops that serve the connections, one worker each
     * @param context dependencies that the workers share
     */
    public CallerServer(EventLoopGroup acceptorLoops, EventLoopGroup workerLoops, RoutingContext context) {
        this.acceptorLoops = acceptorLoops;
        this.workerLoops = workerLoops;
        this.context = context;
    }

    /**
     * Starts listening. Blocks, so it must not be called on an event loop.
     *
     * @param address address to listen on
     * @return the address with the port that was bound
     */
    public InetSocketAddress start(InetSocketAddress address) {
        listenChannel = new ServerBootstrap()
                .group(acceptorLoops, workerLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until the socket is empty, so that the end of a connection is noticed along with its last
                // request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        initialize(accepted);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listenChannel.localAddress();
    }

    private void initialize(Channel accepted) {
        Worker worker = worker(accepted.eventLoop());
        CallerChannel channel = new CallerChannel(worker, this);
        channels.add(channel);
        int maxHeaderBytes = context.tracker()
                .view()
                .configuration()
                .map(RoutingConfiguration::limits)
                .orElse(CallerLimits.DEFAULT)
                .maxHeaderBytes();
        accepted.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext handlerContext, Object message) {
                                if (message instanceof ByteBuf bytes) {
                                    channel.onBytesReceived(bytes);
                                }
                                handlerContext.fireChannelRead(message);
                            }
                        },
                        new StrictRequestDecoder(maxHeaderBytes),
                        new HttpResponseEncoder(),
                        channel);
    }

    private Worker worker(EventLoop eventLoop) {
        return workers.computeIfAbsent(eventLoop, loop -> new Worker(loop, context));
    }

    /**
     * Explains where a request would be sent now. Sends nothing, changes no state and takes no token.
     *
     * @param request the request
     * @return the explanation by one of the workers, completed on its event loop
     */
    public CompletableFuture<RouteExplanation> explain(ExplainedRequest request) {
        Worker worker = workers.values().stream().findFirst().orElseGet(() -> worker(workerLoops.next()));
        return CompletableFuture.supplyAsync(() -> new RouteExplainer(worker).explain(request), worker::runOnLoop);
    }

    /** Rejects messages with two framings, whereas the base class drops one of the two. */
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

    /** Closes each connection after the response to its current or next request from now on. */
    public void drain() {
        draining = true;
    }

    /** Stops accepting connections. Blocks, so it must not be called on an event loop. */
    public void closeListener() {
        listenChannel.close().awaitUninterruptibly();
    }

    /** Closes connections on which no request is being received, served or on its way. */
    public void closeIdle() {
        channels.forEach(channel -> channel.worker().loop().execute(channel::closeIfIdle));
    }

    /** Answers all requests in progress with what is known of them, because the process is about to end. */
    public void endRequests() {
        channels.forEach(channel -> channel.worker().loop().execute(channel::endRequests));
    }

    /**
     * Returns whether requests are in progress or responses are being written.
     *
     * @return true while terminating the process would interrupt a request
     */
    public boolean isBusy() {
        return responsesBeingWritten.get() > 0 || workers.values().stream().anyMatch(worker -> worker.inProgress() > 0);
    }

    /**
     * Returns the number of open connections of callers.
     *
     * @return number of connections
     */
    public int connections() {
        return channels.size();
    }

    boolean isDraining() {
        return draining;
    }

    void responseWriteStarted() {
        responsesBeingWritten.incrementAndGet();
    }

    void responseWriteEnded() {
        responsesBeingWritten.decrementAndGet();
    }

    void channelClosed(CallerChannel channel) {
        channels.remove(channel);
    }
}
