package org.snipewind.router.peer;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.protocol.PeerException;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.router.Conditions;
import org.snipewind.router.lead.EmptyStoreItemParser;
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

/**
 * Instances in several data centres that exchange broadcasts over a simulated network. The first instance of the first
 * data centre leads. Each instance has a clock with another starting point.
 */
final class SimulatedFleet {

    private static final long CLOCK_DIFFERENCE_MILLIS = 1_000_003;

    /** A message that has not arrived yet. */
    private record Delivery(Instance to, Runnable onArrival) {}

    private record Call(CompletableFuture<PeerMessage> response, long sentMillis) {}

    /** An instance with its copy of the store. */
    final class Instance {
        final MemberRecord self;
        final MillisClock clock;
        final StoreCache cache;
        final List<Long> receivedRevisions = new ArrayList<>();
        private final FleetTracker tracker;
        private final BroadcastReceiver receiver;

        Instance(MemberRecord self, long clockStartMillis) {
            this.self = self;
            this.clock = () -> time.nowMillis() + clockStartMillis;
            this.tracker = new FleetTracker(new EmptyStoreItemParser(), clock, log);
            this.cache = new StoreCache(new UnresponsiveStore(), loop, clock, log, tracker);
            this.receiver = new BroadcastReceiver(
                    cache, tracker, clock, metrics, self, (delta, members) -> sendAll(this, delta, members));
        }

        Optional<PeerMessage> receive(MirrorDelta delta) {
            Optional<PeerMessage> response = receiver.receive(delta);
            receivedRevisions.add(delta.toRevision());
            return response;
        }

        FleetTracker tracker() {
            return tracker;
        }
    }

    final List<Instance> instances = new ArrayList<>();
    final ProcessMetrics metrics = new ProcessMetrics();
    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualMillisClock time = new ManualMillisClock(100_000);
    private final RouterEventLog log = new RouterEventLog("test", time);
    private final Queue<Delivery> network = new ArrayDeque<>();
    private final List<Call> calls = new ArrayList<>();
    private final Set<Instance> lost = new HashSet<>();
    private final Set<Instance> paused = new HashSet<>();
    private final Set<Instance> withoutResponses = new HashSet<>();
    private final RelayedBroadcast broadcast;
    private long revision = UnresponsiveStore.REVISION;
    private int messagesBetweenDataCentres;

    SimulatedFleet(int dataCentres, int instancesPerDataCentre) throws Exception {
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            for (int index = 0; index < instancesPerDataCentre; index++) {
                String name = "entry-" + dataCentre + "-" + index;
                // The first instance of a data centre has the highest capacity, and the second the next.
                MemberRecord self = new MemberRecord(name, "boot-" + name, name, "dc-" + dataCentre, 1.0 / (index + 1));
                instances.add(new Instance(self, instances.size() * CLOCK_DIFFERENCE_MILLIS));
            }
        }
        for (Instance instance : instances) {
            instance.cache.start();
            Conditions.await(instance.cache::isLoaded);
        }
        List<StoreChanges.Change> members = new ArrayList<>();
        for (Instance instance : instances) {
            String key = StoreKeys.MEMBER_PREFIX + instance.self.name();
            members.add(new StoreChanges.Change(
                    new StoreItem(key, RecordCodec.encode(instance.self), ++revision, 0), false));
        }
        broadcast = new RelayedBroadcast(
                leader().self,
                () -> leader().tracker.view().members().values(),
                this::confirmation,
                (delta, receivers) -> sendAll(leader(), delta, receivers),
                this::call,
                leader().clock,
                log,
                metrics);
        run(() -> instances.forEach(
                instance -> instance.cache.applyPeerChanges(UnresponsiveStore.REVISION, revision, 0, members)));
    }

    Instance leader() {
        return instances.get(0);
    }

    /** Returns the instances of a data centre, in the order of their capacity. */
    List<Instance> instancesOf(int dataCentre) {
        return instances.stream()
                .filter(instance -> instance.self.dataCentre().equals("dc-" + dataCentre))
                .toList();
    }

    /** Has the leader broadcast a change; returns its revision. */
    long broadcastChange(String key) throws Exception {
        revision++;
        MirrorDelta delta = change(key, revision - 1, revision);
        run(() -> {
            leader().receive(delta);
            broadcast.broadcast(delta);
        });
        return revision;
    }

    void broadcastConfirmation() throws Exception {
        run(() -> broadcast.broadcast(confirmation()));
    }

    static MirrorDelta change(String key, long fromRevision, long toRevision) {
        MirrorAnswer.Item item = new MirrorAnswer.Item(key, toRevision, 0, false, new byte[] {1});
        return new MirrorDelta(fromRevision, toRevision, 0, List.of(item), List.of(), List.of());
    }

    private MirrorDelta confirmation() {
        return new MirrorDelta(revision, revision, 0, List.of(), List.of(), List.of());
    }

    /** Delivers the messages that can be delivered, and those that are sent because of them. */
    void deliver() throws Exception {
        run(() -> {
            List<Delivery> held = new ArrayList<>();
            for (Delivery next = network.poll(); next != null; next = network.poll()) {
                if (paused.contains(next.to())) {
                    held.add(next);
                } else if (!lost.contains(next.to())) {
                    next.onArrival().run();
                }
            }
            network.addAll(held);
        });
    }

    /** Advances all clocks; calls without a response for too long fail. */
    void advance(long millis) throws Exception {
        time.advance(millis);
        run(() -> List.copyOf(calls).stream()
                .filter(call -> time.nowMillis() - call.sentMillis() >= RelayedBroadcast.ACKNOWLEDGEMENT_TIMEOUT_MILLIS)
                .forEach(call -> {
                    calls.remove(call);
                    call.response().completeExceptionally(new PeerException("no answer", true, null));
                }));
    }

    /** Drops what an instance sends from now on, and all messages that have not reached it. */
    void lose(Instance instance) {
        lost.add(instance);
    }

    /** Delivers messages from and to a lost instance again. */
    void find(Instance instance) {
        lost.remove(instance);
    }

    /** Drops the responses of an instance from now on. */
    void loseResponses(Instance instance) {
        withoutResponses.add(instance);
    }

    /** Holds all messages to an instance. */
    void pause(Instance instance) {
        paused.add(instance);
    }

    void resume(Instance instance) {
        paused.remove(instance);
    }

    int messagesBetweenDataCentres() {
        return messagesBetweenDataCentres;
    }

    <T> T get(Supplier<T> reading) throws Exception {
        return loop.submit(reading::get).get();
    }

    void run(Runnable task) throws InterruptedException, ExecutionException {
        loop.submit(task).get();
    }

    void stop() {
        loop.shutdownNow();
    }

    private void sendAll(Instance from, MirrorDelta delta, Collection<MemberRecord> members) {
        members.stream()
                .filter(member -> !member.name().equals(from.self.name()))
                .map(this::instanceOf)
                .forEach(to -> send(from, to, () -> to.receive(delta)));
    }

    private CompletableFuture<PeerMessage> call(MemberRecord relay, MirrorDelta delta) {
        Call call = new Call(new CompletableFuture<>(), time.nowMillis());
        calls.add(call);
        Instance to = instanceOf(relay);
        send(
                leader(),
                to,
                () -> to.receive(delta)
                        .filter(response -> !withoutResponses.contains(to))
                        .ifPresent(response -> send(to, leader(), () -> {
                            calls.remove(call);
                            call.response().complete(response);
                        })));
        return call.response();
    }

    private void send(Instance from, Instance to, Runnable onArrival) {
        if (!from.self.dataCentre().equals(to.self.dataCentre())) {
            messagesBetweenDataCentres++;
        }
        if (!lost.contains(from)) {
            network.add(new Delivery(to, onArrival));
        }
    }

    private Instance instanceOf(MemberRecord member) {
        return instances.stream()
                .filter(instance -> instance.self.equals(member))
                .findFirst()
                .orElseThrow();
    }
}
