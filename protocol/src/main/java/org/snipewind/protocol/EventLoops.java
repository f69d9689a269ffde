package org.snipewind.protocol;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** Event loops of the server or of the client connections, either shared or created for them. */
final class EventLoops {

    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private final EventLoopGroup group;
    private final boolean ownsGroup;

    EventLoops(PeerSettings settings, String threadPoolName) {
        this.ownsGroup = settings.eventLoops().isEmpty();
        this.group = settings.eventLoops()
                .orElseGet(() -> new MultiThreadIoEventLoopGroup(
                        new DefaultThreadFactory(threadPoolName, true), NioIoHandler.newFactory()));
    }

    EventLoopGroup group() {
        return group;
    }

    /** Shuts down the event loops after the queued tasks have run, unless they are shared. */
    @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for the end: the threads don't keep the JVM running.
    void close() {
        if (ownsGroup) {
            group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
