package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.protocol.MirrorRequest;
import org.snipewind.protocol.NettyPeerConnections;
import org.snipewind.protocol.PeerException;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.PeerServer;
import org.snipewind.protocol.PeerSettings;
import org.snipewind.protocol.TermEndAnswer;
import org.snipewind.protocol.TermEndRequest;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.RouterMetrics;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreWrite;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;
import org.snipewind.router.state.StoreKeys;

/** Connections to the other instances, which know each other by a secret in the store. */
public final class PeerNetwork {

    private static final int SECRET_BYTES = 32;
    private static final long RETRY_MILLIS = 200;

    /** Longest wait for a former leader, which may be short of processor time. */
    private static final long TERM_END_MILLIS = 500;

    private final CoordinationStore store;
    private final StoreCache mirror;
    private final MirrorDeltaApplier deltas;
    private final LeaderService duties;
    private final EventLoop loop;
    private final EventLoopGroup loops;
    private final RouterEventLog log;
    private final RouterMetrics metrics;
    private final MemberRecord self;
    private final int port;
    private Optional<NettyPeerConnections> connections = Optional.empty();
    private long leaderHeardMillis;

    /**
     * Creates a network that is not open yet.
     *
     * @param store the store
     * @param mirror the copy of the store
     * @param duties gets the reports of others
     * @param loop the control loop
     * @param loops event loops of the connections
     * @param log the log
     * @param metrics counters of messages by type
     * @param self this instance
     * @param port port to listen on
     */
    public PeerNetwork(
            CoordinationStore store,
            StoreCache mirror,
            LeaderService duties,
            EventLoop loop,
            EventLoopGroup loops,
            RouterEventLog log,
            RouterMetrics metrics,
            MemberRecord self,
            int port) {
        this.store = store;
        this.mirror = mirror;
        this.deltas = new MirrorDeltaApplier(mirror);
        this.duties = duties;
        this.loop = loop;
        this.loops = loops;
        this.log = log;
        this.metrics = metrics;
        this.self = self;
        this.port = port;
    }

    /** Opens the network as soon as the secret is known; the first instance writes it. */
    public void start() {
        loop.execute(this::open);
    }

    private void open() {
        Optional<StoreItem> secret = mirror.item(StoreKeys.SECRET);
        if (secret.isPresent()) {
            listen(secret.get().value());
            return;
        }
        if (mirror.isLoaded()) {
            byte[] drawn = new byte[SECRET_BYTES];
            new SecureRandom().nextBytes(drawn);
            store.commit(List.of(new StoreWrite(StoreKeys.SECRET, 0, drawn, 0))).whenComplete((revision, failure) -> {
                if (failure == null) {
                    mirror.applyWrite(new StoreItem(StoreKeys.SECRET, drawn, revision, 0));
                } else {
                    // Mostly another instance was first, and the watch brings its secret.
                    log.write(
                            RouterEvent.STORE_CALL_FAILED,
                            () -> "call=write of the fleet's secret cause=" + failure.getMessage());
                }
            });
        }
        loop.schedule(this::open, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void listen(byte[] secret) {
        String host = self.peerAddress().substring(0, self.peerAddress().lastIndexOf(':'));
        PeerSettings settings =
                PeerSettings.of(self.processId(), host, port, secret).withEventLoops(loops);
        connections = Optional.of(new NettyPeerConnections(settings));
        PeerServer server = new PeerServer(settings, this::handle);
        // Binding waits for its event loop, so it can't run on one.
        Thread binder = new Thread(
                () -> {
                    try {
                        server.start();
                    } catch (RuntimeException e) {
                        log.write(RouterEvent.TASK_FAILED, () -> "task=listen for peers port=" + port + " cause=" + e);
                    }
                },
                "snipewind-peer-binder");
        binder.setDaemon(true);
        binder.start();
    }

    private CompletionStage<Optional<PeerMessage>> handle(String senderId, PeerMessage message) {
        metrics.count("peers.received." + message.getClass().getSimpleName());
        CompletableFuture<Optional<PeerMessage>> answer = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                answer.complete(answerTo(senderId, message));
            } catch (RuntimeException e) {
                log.write(RouterEvent.TASK_FAILED, () -> "task=answer to " + senderId + " cause=" + e);
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    private Optional<PeerMessage> answerTo(String senderId, PeerMessage message) {
        if (message instanceof LoadSummary summary) {
            return Optional.of(duties.handleLoadSummary(senderId, summary));
        }
        if (message instanceof BudgetRequest request) {
            return Optional.of(duties.issueTokens(request));
        }
        if (message instanceof TermEndRequest request) {
            return Optional.of(duties.handleTermEndRequest(request));
        }
        if (message instanceof MirrorDelta delta) {
            deltas.follow(delta);
            return Optional.empty();
        }
        if (message instanceof MirrorRequest request) {
            List<MirrorAnswer.Item> items = request.knownRevision() >= mirror.revision()
                    ? List.of()
                    : mirror.snapshot().stream()
                            .map(MirrorItemConverter::toMessage)
                            .toList();
            return Optional.of(
                    new MirrorAnswer(mirror.revision(), mirror.ageMillis(), now() - leaderHeardMillis, items));
        }
        return Optional.empty();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Asks a former leader to end its term.
     *
     * @param former the former leader
     * @return whether it has ended; fails if it gives no answer
     */
    public CompletableFuture<Boolean> requestTermEnd(LeaderRecord former) {
        return call(former.member().peerAddress(), new TermEndRequest(former.lease()), TERM_END_MILLIS)
                .thenApply(answer -> answer instanceof TermEndAnswer term && term.ended());
    }

    /**
     * Sends a message to all other instances and awaits no answer.
     *
     * @param message the message
     * @param members the instances
     */
    void broadcast(PeerMessage message, Collection<MemberRecord> members) {
        metrics.count("peers.sent." + message.getClass().getSimpleName(), members.size());
        connections.ifPresent(open -> members.stream()
                .filter(member -> !member.name().equals(self.name()))
                .forEach(member -> open.send(member.peerAddress(), message)));
    }

    /** Notes that the leader answered. */
    void leaderHeard() {
        leaderHeardMillis = now();
    }

    /**
     * Calls another instance.
     *
     * @param address its address
     * @param message the message
     * @param timeoutMillis longest wait
     * @return the answer, completed on the control loop
     */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, long timeoutMillis) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        if (connections.isEmpty()) {
            result.completeExceptionally(new PeerException("the network is not open yet", false, null));
            return result;
        }
        String type = message.getClass().getSimpleName();
        metrics.count("peers.sent." + type);
        connections
                .get()
                .call(address, message, timeoutMillis)
                .whenComplete((answer, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        result.complete(answer);
                    } else {
                        metrics.count("peers.failed." + type);
                        result.completeExceptionally(failure);
                    }
                }));
        return result;
    }
}
