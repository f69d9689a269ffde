package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.LeavingTargets;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorRequest;
import org.snipewind.protocol.ReportAnswer;
import org.snipewind.router.lead.LeaderElection;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.path.SharedRoutingState;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;

/**
 * Reports this instance's load to the leader, fetches rate-limit tokens from it, and has it replaced if peers confirm
 * that it is unresponsive. While the store does not confirm the cache, also fetches snapshots of the cache from peers.
 * Confined to the control event loop.
 */
public final class LeaderClient {

    /** Interval between load reports. */
    private static final long REPORT_INTERVAL_MILLIS = 400;

    private static final long CALL_TIMEOUT_MILLIS = 350;

    /** Longest wait of a request for tokens; a round trip takes a few milliseconds. */
    private static final long TOKEN_CALL_TIMEOUT_MILLIS = 80;

    /** A leader that did not respond to three reports in a row is replaced if peers confirm it. */
    private static final long LEADER_UNRESPONSIVE_AFTER_MILLIS = 1_200;

    /** Peers are asked for snapshots after this time in which the store did not confirm the cache to this instance. */
    private static final long PEER_SNAPSHOT_AFTER_MILLIS = 1_300;

    private static final long PEER_SNAPSHOT_INTERVAL_MILLIS = 250;
    private static final int MAX_PEERS_ASKED = 2;

    private final PeerNetwork network;
    private final FleetTracker tracker;
    private final StoreCache cache;
    private final LeaderElection leaderElection;
    private final LeaderService leaderService;
    private final SharedRoutingState routingState;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final MemberRecord self;
    private final MirrorAnswerApplier answerApplier;
    private String leaderBootId = "";

    private final LeavingReports leavingReports = new LeavingReports();
    private boolean leavingReportInFlight;
    private long lastLeaderContactMillis;
    private boolean leaderQueryInProgress;

    /**
     * Creates a client that is not started.
     *
     * @param network connections to the other instances
     * @param tracker provides the current fleet view
     * @param cache local copy of the store's items
     * @param leaderElection replaces an unresponsive leader
     * @param leaderService called directly while this instance leads
     * @param routingState provides the load summaries of this instance
     * @param loop the control event loop
     * @param clock clock that measures the time since the leader last responded
     * @param log the event log
     * @param self this instance
     */
    public LeaderClient(
            PeerNetwork network,
            FleetTracker tracker,
            StoreCache cache,
            LeaderElection leaderElection,
            LeaderService leaderService,
            SharedRoutingState routingState,
            EventLoop loop,
            MillisClock clock,
            RouterEventLog log,
            MemberRecord self) {
        this.network = network;
        this.tracker = tracker;
        this.cache = cache;
        this.leaderElection = leaderElection;
        this.leaderService = leaderService;
        this.routingState = routingState;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.self = self;
        this.answerApplier = new MirrorAnswerApplier(cache, clock, log);
    }

    /** Starts the periodic load reports and checks of the store contact. */
    public void start() {
        tracker.addObserver(this::reportLeavingTargets);
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "load report", this::reportLoad),
                REPORT_INTERVAL_MILLIS,
                REPORT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "request for the caches of peers", this::requestPeerSnapshots),
                PEER_SNAPSHOT_INTERVAL_MILLIS,
                PEER_SNAPSHOT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Tells the leader of targets that are leaving, until it has confirmed each of them. */
    private void reportLeavingTargets() {
        FleetView view = tracker.view();
        Set<String> leaving = view.targets().values().stream()
                .map(TargetState::registration)
                .filter(registration -> !registration.draining())
                .map(TargetRegistration::incarnation)
                .filter(tracker.notices()::isLeaving)
                .collect(Collectors.toSet());
        if (leavingReportInFlight || view.leader().isEmpty()) {
            return;
        }
        MemberRecord leader = view.leader().get().member();
        List<String> incarnations = leavingReports.unconfirmed(leader.bootId(), leaving);
        if (incarnations.isEmpty() || leader.isSameProcess(self)) {
            return;
        }
        leavingReportInFlight = true;
        network.call(leader.peerAddress(), new LeavingTargets(incarnations), CALL_TIMEOUT_MILLIS)
                .whenComplete((response, failure) -> {
                    leavingReportInFlight = false;
                    if (failure == null && response instanceof ReportAnswer report && report.accepted()) {
                        leavingReports.confirm(leader.bootId(), incarnations);
                    }
                });
    }

    private void reportLoad() {
        Optional<LeaderRecord> leader = tracker.view().leader();
        if (leader.isEmpty()) {
            return;
        }
        MemberRecord member = leader.get().member();
        if (!member.bootId().equals(leaderBootId)) {
            leaderBootId = member.bootId();
            lastLeaderContactMillis = clock.nowMillis();
        }
        reportLeavingTargets();
        LoadSummary summary = routingState.drainLoadSummary();
        if (member.isSameProcess(self)) {
            leaderService.handleLoadSummary(self.processId(), summary);
            network.recordLeaderContact();
            return;
        }
        network.call(member.peerAddress(), summary, CALL_TIMEOUT_MILLIS).whenComplete((response, failure) -> {
            // An instance that responds but does not lead, because it stops or lost its lease, is to be replaced too.
            if (failure == null && response instanceof ReportAnswer report && report.accepted()) {
                lastLeaderContactMillis = clock.nowMillis();
                network.recordLeaderContact();
            } else if (clock.nowMillis() - lastLeaderContactMillis > LEADER_UNRESPONSIVE_AFTER_MILLIS) {
                askPeersAboutLeader(member);
            }
        });
    }

    /**
     * Fetches rate-limit tokens of an organisation from the leader.
     *
     * @param request the organisation and the number of tokens
     * @return the issued tokens, none if no leader is known; fails if the leader does not respond
     */
    public CompletableFuture<BudgetGrant> fetchTokens(BudgetRequest request) {
        Optional<LeaderRecord> leader = tracker.view().leader();
        if (leader.isEmpty()) {
            return CompletableFuture.completedFuture(new BudgetGrant(false, 0, 0));
        }
        if (leader.get().member().isSameProcess(self)) {
            return CompletableFuture.completedFuture(leaderService.issueTokens(request));
        }
        return network.call(leader.get().member().peerAddress(), request, TOKEN_CALL_TIMEOUT_MILLIS)
                .thenApply(BudgetGrant.class::cast);
    }

    /** Asks peers whether they reach the leader, since it must not be replaced if only this instance can't. */
    private void askPeersAboutLeader(MemberRecord leader) {
        List<MemberRecord> otherMembers = otherMembers();
        otherMembers.removeIf(member -> member.name().equals(leader.name()));
        if (leaderQueryInProgress || otherMembers.isEmpty()) {
            return;
        }
        leaderQueryInProgress = true;
        // Number of peers that have responded or failed, and of those that miss the leader.
        int[] counts = new int[2];
        List<MemberRecord> asked = otherMembers.subList(0, Math.min(MAX_PEERS_ASKED, otherMembers.size()));
        for (MemberRecord peer : asked) {
            network.call(peer.peerAddress(), new MirrorRequest(Long.MAX_VALUE), CALL_TIMEOUT_MILLIS)
                    .whenComplete((response, failure) -> {
                        counts[0]++;
                        if (response instanceof MirrorAnswer mirrorAnswer
                                && mirrorAnswer.leaderAgeMillis() > LEADER_UNRESPONSIVE_AFTER_MILLIS) {
                            counts[1]++;
                        }
                        if (counts[0] == asked.size()) {
                            leaderQueryInProgress = false;
                            replaceLeaderIfConfirmed(leader, counts[1], asked.size());
                        }
                    });
        }
    }

    private void replaceLeaderIfConfirmed(MemberRecord leader, int confirmations, int asked) {
        log.write(
                RouterEvent.LEADER_CHANGED,
                () -> "leader=" + leader.name() + " silent=" + (clock.nowMillis() - lastLeaderContactMillis)
                        + "ms peers-that-miss-it=" + confirmations + " asked=" + asked);
        if (confirmations == asked
                && tracker.view()
                        .leader()
                        .map(record -> record.member().isSameProcess(leader))
                        .orElse(false)) {
            leaderElection.replaceLeader(leader);
        }
    }

    private void requestPeerSnapshots() {
        if (cache.confirmationAgeMillis() < PEER_SNAPSHOT_AFTER_MILLIS || cache.receivesBroadcasts()) {
            return;
        }
        long knownRevision = cache.revision();
        long askedMillis = clock.nowMillis();
        for (MemberRecord peer : peersToAsk()) {
            network.call(peer.peerAddress(), new MirrorRequest(knownRevision), CALL_TIMEOUT_MILLIS)
                    .whenComplete((response, failure) ->
                            answerApplier.applyAnswer(knownRevision, askedMillis, Optional.ofNullable(response)));
        }
    }

    /**
     * Returns a peer in this data centre, as bytes between data centres are dear. If the last answers did not confirm
     * the cache, because the peers of this data centre miss the store too, also returns one in another.
     */
    private List<MemberRecord> peersToAsk() {
        List<MemberRecord> otherMembers = otherMembers();
        List<MemberRecord> asked = new ArrayList<>();
        otherMembers.stream().filter(this::isInThisDataCentre).findFirst().ifPresent(asked::add);
        if (asked.isEmpty() || cache.ageMillis() > PEER_SNAPSHOT_AFTER_MILLIS) {
            otherMembers.stream()
                    .filter(peer -> !isInThisDataCentre(peer))
                    .findFirst()
                    .ifPresent(asked::add);
        }
        return asked;
    }

    private boolean isInThisDataCentre(MemberRecord member) {
        return member.dataCentre().equals(self.dataCentre());
    }

    private List<MemberRecord> otherMembers() {
        List<MemberRecord> otherMembers =
                new ArrayList<>(tracker.view().members().values());
        otherMembers.removeIf(member -> member.name().equals(self.name()));
        Collections.shuffle(otherMembers, ThreadLocalRandom.current());
        return otherMembers;
    }
}
