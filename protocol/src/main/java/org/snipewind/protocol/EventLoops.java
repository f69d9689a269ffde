package org.snipewind.protocol;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** The event loops of a server or of client connections, either shared or its own. */
final class EventLoops {

    private static final long SHUTDOWN_MILLIS = 1_000;

    private final EventLoopGroup group;
    private final boolean owned;

    EventLoops(PeerSettings settings, String threadName) {
        this.owned = settings.eventLoops().isEmpty();
        this.group = settings.eventLoops()
                .orElseGet(() -> new MultiThreadIoEventLoopGroup(
                        new DefaultThreadFactory(threadName, true), NioIoHandler.newFactory()));
    }

    EventLoopGroup group() {
        return group;
    }

    /** Ends own event loops after the tasks that are queued; shared ones go on. */
    @SuppressWarnings("FutureReturnValueIgnored") // The threads are daemon threads and end on their own.
    void close() {
        if (owned) {
            group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
