package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.snipewind.router.Conditions.await;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.clock.SystemMillisClock;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.router.lead.EmptyStoreItemParser;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.UnresponsiveStore;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.RecordCodec;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/** Guards against relays that are not reached, or don't answer, over the connections between instances. */
final class RelayedBroadcastNetworkTest {

    private static final int SECRET_BYTES = 32;
    private static final int REMOTE_INSTANCES = 4;
    private static final long TOO_OLD_MILLIS = 10_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final MillisClock clock = new SystemMillisClock();
    private final RouterEventLog log = new RouterEventLog("test", clock);
    private final List<MemberRecord> members = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();

    /** An instance whose store never responds to a watch. */
    private final class Instance {
        final ProcessMetrics metrics = new ProcessMetrics();
        final FleetTracker tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
        final UnresponsiveStore store = new UnresponsiveStore();
        final StoreCache cache = new StoreCache(store, loop, clock, log, tracker);
        final PeerNetwork network;

        Instance(MemberRecord self) {
            LeaderService leaderService =
                    new LeaderService(store, cache, tracker, new UnresponsiveTargets(), clock, log, self);
            int port = Integer.parseInt(self.peerAddress().split(":")[1]);
            network = new PeerNetwork(
                    store, cache, tracker, leaderService, loop, eventLoops, clock, log, metrics, self, port);
        }
    }

    @AfterEach
    void stop() {
        loop.shutdownNow();
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void startInstances() throws Exception {
        for (int index = 0; index <= REMOTE_INSTANCES; index++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                String dataCentre = index == 0 ? "dc-1" : "dc-2";
                String address = "127.0.0.1:" + socket.getLocalPort();
                members.add(
                        new MemberRecord("entry-" + index, "boot-" + index, address, dataCentre, 1.0 / (index + 1)));
            }
        }
        List<StoreChanges.Change> items = new ArrayList<>();
        items.add(new StoreChanges.Change(new StoreItem(StoreKeys.SECRET, new byte[SECRET_BYTES], 8, 0), false));
        IntStream.range(0, members.size())
                .forEach(index -> items.add(new StoreChanges.Change(
                        new StoreItem(
                                StoreKeys.MEMBER_PREFIX + members.get(index).name(),
                                RecordCodec.encode(members.get(index)),
                                9 + index,
                                0),
                        false)));
        for (MemberRecord member : members) {
            Instance instance = new Instance(member);
            instances.add(instance);
            instance.cache.start();
            await(instance.cache::isLoaded);
            loop.submit(() -> instance.cache.applyPeerChanges(
                            UnresponsiveStore.REVISION, 9 + REMOTE_INSTANCES, MirrorDelta.UNKNOWN_AGE_MILLIS, items))
                    .get();
            instance.network.start();
        }
    }

    @Test
    void aChangeReachesAllInstancesOfTheOtherDataCentreThroughOneOfThem() throws Exception {
        startInstances();
        long revision = 10 + REMOTE_INSTANCES;
        RelayedBroadcast broadcast = instances
                .get(0)
                .network
                .newRelayedBroadcast(() -> new MirrorDelta(revision, revision, 0, List.of(), List.of(), List.of()));
        // Only the delta that follows the acknowledgement of a relay confirms the caches; this one is too old.
        MirrorDelta change =
                SimulatedFleet.change("key", revision - 1, revision).forInstance(TOO_OLD_MILLIS);
        List<Instance> remote = instances.subList(1, instances.size());
        await(() -> members.stream().allMatch(RelayedBroadcastNetworkTest::accepts));
        await(() -> {
            loop.execute(() -> broadcast.broadcast(change));
            return remote.stream()
                    .allMatch(instance -> instance.cache.revision() == revision && instance.cache.receivesBroadcasts());
        });
        assertThat(instances.get(1).metrics.counterValue("broadcasts.forwarded"))
                .isAtLeast(1);
    }

    private static boolean accepts(MemberRecord member) {
        int port = Integer.parseInt(member.peerAddress().split(":")[1]);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }
}
