package org.snipewind.router.peer;

import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.router.lead.EmptyStoreItemParser;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.UnresponsiveStore;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/** Guards against an instance that never opens its peer network because opening it failed once. */
final class PeerNetworkTest {

    private static final int SECRET_BYTES = 32;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final NioEventLoopGroup network = new NioEventLoopGroup(1);
    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final FleetTracker tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
    private final UnresponsiveStore store = new UnresponsiveStore();
    private final StoreCache cache = new StoreCache(store, loop, clock, log, tracker);

    @AfterEach
    void stopLoops() {
        loop.shutdownNow();
        network.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void start(int port) {
        MemberRecord self = new MemberRecord("entry", "boot", "127.0.0.1:" + port, "dc-1", 1);
        LeaderService leaderService =
                new LeaderService(store, cache, tracker, new UnresponsiveTargets(), clock, log, self);
        new PeerNetwork(
                        store,
                        cache,
                        tracker,
                        leaderService,
                        loop,
                        network,
                        clock,
                        log,
                        new ProcessMetrics(),
                        self,
                        port)
                .start();
    }

    private void writeSecret(byte[] secret, long revision) throws Exception {
        loop.submit(() -> cache.applyWrite(new StoreItem(StoreKeys.SECRET, secret, revision, 0)))
                .get();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static boolean accepts(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against an instance that permanently hears of no peer because the secret was unreadable at its start. */
    @Test
    void anUnreadableSecretIsReplacedByALaterOne() throws Exception {
        int port = freePort();
        writeSecret(new byte[0], 8);
        start(port);
        loop.submit(() -> {}).get();
        writeSecret(new byte[SECRET_BYTES], 9);
        await(() -> accepts(port));
    }

    /** Guards against an instance that no peer ever reaches because its port was taken at its start. */
    @Test
    void aPortThatIsTakenAtFirstIsBoundOnceItIsFree() throws Exception {
        int port;
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = other.getLocalPort();
            writeSecret(new byte[SECRET_BYTES], 8);
            start(port);
            loop.submit(() -> {}).get();
            await(() -> !isBinding());
        }
        await(() -> accepts(port));
    }

    private static boolean isBinding() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals("snipewind-peer-binder"));
    }
}
