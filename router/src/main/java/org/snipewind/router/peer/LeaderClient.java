package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.protocol.MirrorRequest;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.ReportAnswer;
import org.snipewind.router.lead.LeaderElection;
import org.snipewind.router.lead.LeaderService;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.path.SharedRoutingState;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;

/**
 * Reports to the leader, has it replaced if it is gone, and takes the store's items from peers while the store can't be
 * reached. Belongs to the control loop.
 */
public final class LeaderClient {

    /** Reports follow each other at this interval. */
    private static final long REPORT_MILLIS = 400;

    private static final long CALL_MILLIS = 350;

    /** A request waits at most this long for tokens; a round trip takes a few milliseconds. */
    private static final long TOKEN_CALL_MILLIS = 80;

    /** A leader that answered none of three reports is taken to be gone if others say the same. */
    private static final long LEADER_GONE_MILLIS = 1_200;

    /** Without contact to the store for this time, a peer is asked for its copy. */
    private static final long RELAY_AFTER_MILLIS = 1_300;

    private static final long RELAY_MILLIS = 250;
    private static final int PEERS_ASKED = 2;

    private final PeerNetwork network;
    private final FleetTracker tracker;
    private final StoreCache mirror;
    private final LeaderElection leadership;
    private final LeaderService duties;
    private final SharedRoutingState tables;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final MemberRecord self;
    private String leaderBoot = "";
    private long leaderHeardMillis;
    private boolean askingAboutLeader;

    /**
     * Creates a reporter.
     *
     * @param network connections to the other instances
     * @param tracker the view of the fleet
     * @param mirror the copy of the store
     * @param leadership the office of the leader
     * @param duties what this instance does as the leader
     * @param tables limits and counts of this instance
     * @param loop the control loop
     * @param clock the clock of the reports
     * @param log the log
     * @param self this instance
     */
    public LeaderClient(
            PeerNetwork network,
            FleetTracker tracker,
            StoreCache mirror,
            LeaderElection leadership,
            LeaderService duties,
            SharedRoutingState tables,
            EventLoop loop,
            MillisClock clock,
            RouterEventLog log,
            MemberRecord self) {
        this.network = network;
        this.tracker = tracker;
        this.mirror = mirror;
        this.leadership = leadership;
        this.duties = duties;
        this.tables = tables;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.self = self;
    }

    /** Starts to report. */
    public void start() {
        loop.scheduleAtFixedRate(this::report, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::relay, RELAY_MILLIS, RELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void report() {
        Optional<LeaderRecord> leader = tracker.view().leader();
        if (leader.isEmpty()) {
            return;
        }
        MemberRecord member = leader.get().member();
        if (!member.bootId().equals(leaderBoot)) {
            leaderBoot = member.bootId();
            leaderHeardMillis = clock.nowMillis();
        }
        LoadSummary summary = tables.drainLoadSummary();
        if (member.isSameProcess(self)) {
            duties.handleLoadSummary(self.processId(), summary);
            network.leaderHeard();
            return;
        }
        network.call(member.peerAddress(), summary, CALL_MILLIS).whenComplete((answer, failure) -> {
            // An instance that answers without leading, because it stops or lost its lease, is to be replaced too.
            if (failure == null && answer instanceof ReportAnswer report && report.accepted()) {
                leaderHeardMillis = clock.nowMillis();
                network.leaderHeard();
            } else if (clock.nowMillis() - leaderHeardMillis > LEADER_GONE_MILLIS) {
                askAboutLeader(member);
            }
        });
    }

    /**
     * Asks the leader for tokens of an organisation.
     *
     * @param organisation name of the organisation
     * @param wanted number of tokens
     * @return the tokens; fails if there is no leader that answers
     */
    public CompletableFuture<BudgetGrant> fetchTokens(String organisation, int wanted) {
        Optional<LeaderRecord> leader = tracker.view().leader();
        BudgetRequest request = new BudgetRequest(organisation, wanted);
        if (leader.isEmpty()) {
            return CompletableFuture.completedFuture(new BudgetGrant(false, 0, 0));
        }
        if (leader.get().member().isSameProcess(self)) {
            return CompletableFuture.completedFuture(duties.issueTokens(request));
        }
        return network.call(leader.get().member().peerAddress(), request, TOKEN_CALL_MILLIS)
                .thenApply(BudgetGrant.class::cast);
    }

    /** A leader that only this instance can't reach stays. */
    private void askAboutLeader(MemberRecord leader) {
        List<MemberRecord> others = otherMembers();
        others.removeIf(member -> member.name().equals(leader.name()));
        if (askingAboutLeader || others.isEmpty()) {
            return;
        }
        askingAboutLeader = true;
        int[] answers = new int[2];
        List<MemberRecord> asked = others.subList(0, Math.min(PEERS_ASKED, others.size()));
        for (MemberRecord peer : asked) {
            network.call(peer.peerAddress(), new MirrorRequest(Long.MAX_VALUE), CALL_MILLIS)
                    .whenComplete((answer, failure) -> {
                        answers[0]++;
                        if (answer instanceof MirrorAnswer known && known.leaderAgeMillis() > LEADER_GONE_MILLIS) {
                            answers[1]++;
                        }
                        if (answers[0] == asked.size()) {
                            askingAboutLeader = false;
                            judge(leader, answers[1], asked.size());
                        }
                    });
        }
    }

    private void judge(MemberRecord leader, int missing, int asked) {
        log.write(
                RouterEvent.LEADER_CHANGED,
                () -> "leader=" + leader.name() + " silent=" + (clock.nowMillis() - leaderHeardMillis)
                        + "ms peers-that-miss-it=" + missing + " asked=" + asked);
        if (missing == asked
                && tracker.view()
                        .leader()
                        .map(record -> record.member().isSameProcess(leader))
                        .orElse(false)) {
            leadership.replaceLeader(leader);
        }
    }

    private void relay() {
        if (mirror.contactAgeMillis() < RELAY_AFTER_MILLIS) {
            return;
        }
        List<MemberRecord> others = otherMembers();
        for (MemberRecord peer : others.subList(0, Math.min(PEERS_ASKED, others.size()))) {
            network.call(peer.peerAddress(), new MirrorRequest(mirror.revision()), CALL_MILLIS)
                    .whenComplete((answer, failure) -> adopt(answer));
        }
    }

    private void adopt(PeerMessage answer) {
        if (answer instanceof MirrorAnswer copy) {
            List<StoreItem> items =
                    copy.items().stream().map(MirrorItemConverter::toStore).toList();
            mirror.applyPeerSnapshot(copy.revision(), copy.storeAgeMillis(), items);
        }
    }

    private List<MemberRecord> otherMembers() {
        List<MemberRecord> others = new ArrayList<>(tracker.view().members().values());
        others.removeIf(member -> member.name().equals(self.name()));
        Collections.shuffle(others, ThreadLocalRandom.current());
        return others;
    }
}
