package org.snipewind.router.path;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Accepts the connections of callers and distributes them over the workers. */
public final class CallerServer {

    private static final int BACKLOG = 1_024;

    /** Accepted connections without a worker, which use descriptors beyond the limit on connections. */
    private static final int MAX_UNINITIALIZED = 16;

    /** Sizes of receive buffers; the largest is also what a connection keeps undecoded while reading pauses. */
    private static final int MIN_READ_BYTES = 64;

    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final EventLoopGroup acceptorLoops;
    private final EventLoopGroup workerLoops;
    private final RoutingContext context;
    private final Map<EventLoop, Worker> workers = new ConcurrentHashMap<>();
    private final Set<CallerChannel> channels = ConcurrentHashMap.newKeySet();
    private final AtomicInteger responsesBeingWritten = new AtomicInteger();

    /** Connections that were accepted and have no worker yet. */
    private final AtomicInteger uninitialized = new AtomicInteger();

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
                .handler(new AcceptLimit())
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until the socket is empty, so that the end of a connection is noticed along with its last
                // request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        if (uninitialized.decrementAndGet() < MAX_UNINITIALIZED) {
                            accepted.parent().config().setAutoRead(true);
                        }
                        initialize(accepted);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listenChannel.localAddress();
    }

    /** Accepts no more connections while the workers are behind, since those count only once they are initialized. */
    private final class AcceptLimit extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext listenerContext, Object message) {
            if (uninitialized.incrementAndGet() >= MAX_UNINITIALIZED) {
                listenerContext.channel().config().setAutoRead(false);
                // The workers may have caught up between the two steps, and none would go on accepting.
                if (uninitialized.get() < MAX_UNINITIALIZED) {
                    listenerContext.channel().config().setAutoRead(true);
                }
            }
            listenerContext.fireChannelRead(message);
        }
    }

    private void initialize(Channel accepted) {
        if (channels.size() >= context.clients().maxConnections()) {
            makeRoom();
        }
        Worker worker = worker(accepted.eventLoop());
        CallerChannel channel = new CallerChannel(worker, this);
        channels.add(channel);
        accepted.pipeline().addLast(channel.decoder(), new HttpResponseEncoder(), channel);
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

    /**
     * Closes a connection, so that file descriptors are left for targets and the store: the one with the most costly
     * unfinished request, or else the one that has been idle for longest.
     */
    private void makeRoom() {
        if (!context.clients().memory().closeMostCostly()) {
            channels.stream()
                    .filter(channel -> channel.idleSinceMillis().isPresent())
                    .min(Comparator.comparingLong(
                            channel -> channel.idleSinceMillis().orElse(Long.MAX_VALUE)))
                    .ifPresent(channel -> channel.worker().runOnLoop(channel::closeForConnections));
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
