package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.LeavingTargets;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.protocol.MirrorRequest;
import org.snipewind.protocol.NettyPeerConnections;
import org.snipewind.protocol.ObservationAnswer;
import org.snipewind.protocol.ObservationDelta;
import org.snipewind.protocol.PeerCounters;
import org.snipewind.protocol.PeerEvent;
import org.snipewind.protocol.PeerException;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.PeerServer;
import org.snipewind.protocol.PeerSettings;
import org.snipewind.protocol.ReportAnswer;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.protocol.TermEndAnswer;
import org.snipewind.protocol.TermEndRequest;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.GuardedStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/**
 * Connections between the instances of the router, which authenticate each other with a secret from the store. Messages
 * are handled on the control event loop.
 */
public final class PeerNetwork {

    private static final int SECRET_BYTES = 32;
    private static final long SECRET_CHECK_INTERVAL_MILLIS = 200;

    /** The port may still be held by an earlier process of this instance. */
    private static final long BIND_RETRY_DELAY_MILLIS = 500;

    /** Longest wait for the response of a former leader, which may be short of processor time. */
    private static final long TERM_END_TIMEOUT_MILLIS = 500;

    private final CoordinationStore store;
    private final StoreCache cache;
    private final FleetTracker tracker;
    private final BroadcastReceiver broadcastReceiver;
    private final LeaderService leaderService;
    private final EventLoop controlLoop;
    private final EventLoopGroup eventLoops;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final ProcessMetrics metrics;
    private final MemberRecord self;
    private final int port;
    private BiFunction<String, ObservationDelta, ObservationAnswer> observationHandler =
            (sender, delta) -> new ObservationAnswer(0, List.of());
    private Optional<NettyPeerConnections> connections = Optional.empty();
    private long lastLeaderContactMillis;
    private BiFunction<String, RolloutReport, ReportAnswer> rolloutReportHandler =
            (senderId, report) -> new ReportAnswer(false);

    /**
     * Creates a network that is not open yet.
     *
     * @param store the store
     * @param cache local copy of the store's items
     * @param tracker provides the current fleet view
     * @param leaderService handles messages to the leader
     * @param controlLoop the control event loop
     * @param eventLoops event loops of the connections
     * @param clock clock that measures the time since the leader last responded, and how long broadcasts are held
     * @param log the event log
     * @param metrics counts messages by type
     * @param self this instance
     * @param port port to listen on
     */
    public PeerNetwork(
            CoordinationStore store,
            StoreCache cache,
            FleetTracker tracker,
            LeaderService leaderService,
            EventLoop controlLoop,
            EventLoopGroup eventLoops,
            MillisClock clock,
            RouterEventLog log,
            ProcessMetrics metrics,
            MemberRecord self,
            int port) {
        this.store = new GuardedStore(store);
        this.cache = cache;
        this.tracker = tracker;
        this.leaderService = leaderService;
        this.controlLoop = controlLoop;
        this.eventLoops = eventLoops;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.self = self;
        this.port = port;
        this.broadcastReceiver = new BroadcastReceiver(cache, tracker, clock, metrics, self, this::broadcast);
    }

    /**
     * Creates the exchange of observations of targets; must be called before the network is opened.
     *
     * @param clock clock of the observations
     * @return the exchange, which is not started
     */
    public ObservationSharing newObservationSharing(MillisClock clock) {
        ObservationSharing sharing = new ObservationSharing(
                (member, delta) -> call(member.peerAddress(), delta, ObservationSharing.CALL_TIMEOUT_MILLIS),
                tracker::view,
                clock,
                log,
                metrics,
                self);
        observationHandler = sharing::answer;
        return sharing;
    }

    /**
     * Sets the handler of reports about roll-outs.
     *
     * @param handler receives the id of the reporting process and its report
     */
    void setRolloutReportHandler(BiFunction<String, RolloutReport, ReportAnswer> handler) {
        rolloutReportHandler = handler;
    }

    /** Opens the network as soon as the secret is known. The first instance of a fleet generates and writes it. */
    public void start() {
        controlLoop.execute(this::openWhenSecretKnown);
    }

    private void openWhenSecretKnown() {
        new GuardedTask(log, "open the peer network", this::openIfSecretKnown).run();
        if (connections.isEmpty()) {
            controlLoop.schedule(this::openWhenSecretKnown, SECRET_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void openIfSecretKnown() {
        Optional<StoreItem> secret = cache.item(StoreKeys.SECRET);
        if (secret.isPresent()) {
            listen(secret.get().value());
            return;
        }
        if (cache.isLoaded()) {
            byte[] newSecret = new byte[SECRET_BYTES];
            new SecureRandom().nextBytes(newSecret);
            store.commit(List.of(new StoreWrite(StoreKeys.SECRET, 0, newSecret, 0)))
                    .whenComplete((revision, failure) -> {
                        if (failure == null) {
                            cache.applyWrite(new StoreItem(StoreKeys.SECRET, newSecret, revision, 0));
                        } else {
                            // Usually another instance wrote its secret first, which the watch then delivers.
                            log.write(
                                    RouterEvent.STORE_CALL_FAILED,
                                    () -> "call=write of the fleet's secret cause=" + failure.getMessage());
                        }
                    });
        }
    }

    private void listen(byte[] secret) {
        String host = self.peerAddress().substring(0, self.peerAddress().lastIndexOf(':'));
        PeerSettings settings = PeerSettings.of(self.processId(), host, port, secret)
                .withEventLoops(eventLoops)
                .withCounters(new TrafficCounters());
        connections = Optional.of(new NettyPeerConnections(settings));
        bind(new PeerServer(settings, this::handleMessage));
    }

    private void bind(PeerServer server) {
        // Binding blocks until its event loop has finished, so it must not run on an event loop.
        // The failure to bind is a checked exception, which the call does not declare.
        GuardedTask task = new GuardedTask(
                log,
                "listen for peers port=" + port,
                server::start,
                () -> controlLoop.schedule(() -> bind(server), BIND_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS));
        Thread binder = new Thread(task, "snipewind-peer-binder");
        binder.setDaemon(true);
        binder.start();
    }

    private CompletionStage<Optional<PeerMessage>> handleMessage(String senderId, PeerMessage message) {
        metrics.count("peers.received." + message.getClass().getSimpleName());
        CompletableFuture<Optional<PeerMessage>> response = new CompletableFuture<>();
        controlLoop.execute(() -> {
            try {
                response.complete(responseTo(senderId, message));
            } catch (RuntimeException e) {
                log.write(RouterEvent.TASK_FAILED, () -> "task=answer to " + senderId + " cause=" + e);
                response.completeExceptionally(e);
            }
        });
        return response;
    }

    private Optional<PeerMessage> responseTo(String senderId, PeerMessage message) {
        if (message instanceof LoadSummary summary) {
            return Optional.of(leaderService.handleLoadSummary(senderId, summary));
        }
        if (message instanceof RolloutReport report) {
            return Optional.of(rolloutReportHandler.apply(senderId, report));
        }
        if (message instanceof LeavingTargets leaving) {
            return Optional.of(leaderService.handleLeavingTargets(leaving));
        }
        if (message instanceof BudgetRequest request) {
            return Optional.of(leaderService.issueTokens(request));
        }
        if (message instanceof TermEndRequest request) {
            return Optional.of(leaderService.handleTermEndRequest(request));
        }
        if (message instanceof MirrorDelta delta) {
            return broadcastReceiver.receive(delta);
        }
        if (message instanceof ObservationDelta delta) {
            return Optional.of(observationHandler.apply(senderId, delta));
        }
        if (message instanceof MirrorRequest request) {
            return Optional.of(answerTo(request));
        }
        return Optional.empty();
    }

    /** Returns the changes since the revision that the sender knows, or the whole cache if not all are known. */
    private MirrorAnswer answerTo(MirrorRequest request) {
        Optional<StoreChanges> changes = request.knownRevision() >= cache.revision()
                ? Optional.of(new StoreChanges(List.of(), cache.revision()))
                : cache.changesSince(request.knownRevision());
        List<MirrorAnswer.Item> items = new ArrayList<>();
        List<MirrorAnswer.Item> removed = new ArrayList<>();
        changes.ifPresentOrElse(
                known -> known.changes()
                        .forEach(change ->
                                (change.removed() ? removed : items).add(MirrorItemConverter.toMessage(change.item()))),
                () -> cache.snapshot().forEach(item -> items.add(MirrorItemConverter.toMessage(item))));
        return new MirrorAnswer(
                cache.revision(),
                cache.ageMillis(),
                clock.nowMillis() - lastLeaderContactMillis,
                changes.isEmpty(),
                items,
                removed);
    }

    /** Counts the bytes sent to instances in the same and in other data centres by the type of the message. */
    private final class TrafficCounters implements PeerCounters {
        @Override
        public void add(PeerEvent event, long amount) {
            // Events of connections show as failed calls, which are counted by type.
        }

        @Override
        public void frameSent(String peerId, String messageName, long bytes) {
            boolean local = Optional.ofNullable(tracker.view().members().get(MemberRecord.nameOf(peerId)))
                    .filter(member -> member.dataCentre().equals(self.dataCentre()))
                    .isPresent();
            String place = local ? "same-data-centre." : "other-data-centre.";
            metrics.count("peers.sent-bytes." + place + messageName, bytes);
        }
    }

    /**
     * Creates the broadcast of a leader that reaches other data centres through relays.
     *
     * @param confirmation creates a delta without changes
     * @return the broadcast
     */
    RelayedBroadcast newRelayedBroadcast(Supplier<MirrorDelta> confirmation) {
        return new RelayedBroadcast(
                self,
                () -> tracker.view().members().values(),
                confirmation,
                this::broadcast,
                (relay, delta) -> call(relay.peerAddress(), delta, RelayedBroadcast.ACKNOWLEDGEMENT_TIMEOUT_MILLIS),
                clock,
                log,
                metrics);
    }

    /**
     * Asks a former leader to end its term.
     *
     * @param formerLeader the former leader
     * @return completes with whether its term has ended; fails if it does not respond
     */
    public CompletableFuture<Boolean> requestTermEnd(LeaderRecord formerLeader) {
        return call(
                        formerLeader.member().peerAddress(),
                        new TermEndRequest(formerLeader.leaseId()),
                        TERM_END_TIMEOUT_MILLIS)
                .thenApply(response -> response instanceof TermEndAnswer termEnd && termEnd.ended());
    }

    /**
     * Sends a message to other instances without waiting for responses.
     *
     * @param message the message
     * @param members the instances; this instance is skipped
     */
    void broadcast(PeerMessage message, Collection<MemberRecord> members) {
        metrics.count("peers.sent." + message.getClass().getSimpleName(), members.size());
        connections.ifPresent(opened -> members.stream()
                .filter(member -> !member.name().equals(self.name()))
                .forEach(member -> opened.send(member.peerAddress(), message)));
    }

    /** Records that the leader has just responded. */
    void recordLeaderContact() {
        lastLeaderContactMillis = clock.nowMillis();
    }

    /**
     * Calls another instance.
     *
     * @param address peer address of the instance
     * @param message the message
     * @param timeoutMillis longest wait for the response
     * @return the response, completed on the control event loop
     */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        if (connections.isEmpty()) {
            result.completeExceptionally(new PeerException("peer network is not open yet", false, null));
            return result;
        }
        String type = message.getClass().getSimpleName();
        metrics.count("peers.sent." + type);
        connections
                .get()
                .call(address, message, timeoutMillis)
                .whenComplete((response, failure) -> controlLoop.execute(() -> {
                    if (failure == null) {
                        result.complete(response);
                    } else {
                        metrics.count("peers.failed." + type);
                        result.completeExceptionally(failure);
                    }
                }));
        return result;
    }
}
