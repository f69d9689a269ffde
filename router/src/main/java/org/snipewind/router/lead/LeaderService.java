package org.snipewind.router.lead;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.election.FollowerTracker;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.protocol.LeavingTargets;
import org.snipewind.protocol.LoadSummary;
import org.snipewind.protocol.ReportAnswer;
import org.snipewind.protocol.TermEndAnswer;
import org.snipewind.protocol.TermEndRequest;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.KeyOwnershipClient;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;

/**
 * The work of the leader for the fleet: assigns the keys of keyed pools to targets and issues the rate-limit tokens of
 * organisations. Does nothing while this instance does not lead. Confined to the control event loop.
 */
public final class LeaderService {

    private final CoordinationStore store;
    private final StoreCache cache;
    private final FleetTracker tracker;
    private final KeyOwnershipClient ownershipClient;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final MemberRecord self;
    private final TokenService tokenService;
    private final FollowerTracker followers = new FollowerTracker();
    private Optional<MemberRecord> formerLeader = Optional.empty();
    private long formerLeaderUntilMillis;

    /** Time until which a leader of an earlier era, of which a restored store tells nothing, may still act. */
    private long lostLeaderUntilMillis = Long.MIN_VALUE;

    private final Map<String, KeyAssigner> keyAssigners = new HashMap<>();
    private LeaderElection leaderElection;

    /**
     * Creates the service of an instance that does not lead yet.
     *
     * @param store the store
     * @param cache local copy of the store's items
     * @param tracker provides the current fleet view
     * @param ownershipClient sends ownership requests to targets
     * @param clock clock that measures grants and tokens
     * @param log the event log
     * @param self this instance
     */
    public LeaderService(
            CoordinationStore store,
            StoreCache cache,
            FleetTracker tracker,
            KeyOwnershipClient ownershipClient,
            MillisClock clock,
            RouterEventLog log,
            MemberRecord self) {
        this.store = store;
        this.cache = cache;
        this.tracker = tracker;
        this.ownershipClient = ownershipClient;
        this.clock = clock;
        this.log = log;
        this.self = self;
        this.tokenService = new TokenService(clock);
    }

    /**
     * Sets the election that decides whether this instance leads; must be called before any other method.
     *
     * @param election the leader election of this instance
     */
    public void setLeaderElection(LeaderElection election) {
        leaderElection = election;
    }

    /**
     * Starts a term. State of earlier terms is discarded, except for what the store contains.
     *
     * @param untilMillis time until which the former leader may still act
     * @param leader the former leader, if it may not know that its term has ended
     */
    public void onTermStart(long untilMillis, Optional<MemberRecord> leader) {
        keyAssigners.clear();
        lostLeaderUntilMillis = cache.eras().earlierRightsEndMillis(LeaderTimes.LEASE_LIFETIME_MILLIS);
        formerLeaderUntilMillis = Math.max(untilMillis, lostLeaderUntilMillis);
        formerLeader = leader;
        followers.beginTerm(clock.nowMillis());
        tokenService.onTermStart(formerLeaderUntilMillis);
    }

    /**
     * Records that the former leader's term has ended sooner than announced. Its tokens remain valid for one token
     * lifetime.
     */
    public void onFormerLeaderEnded() {
        if (clock.nowMillis() < lostLeaderUntilMillis) {
            // The last leader before the restoration of the store may have been another one.
            return;
        }
        formerLeaderUntilMillis = Math.min(formerLeaderUntilMillis, clock.nowMillis());
        tokenService.onFormerLeaderEnded();
        formerLeader = Optional.empty();
    }

    /** Returns the ids of all listed router processes except this one and an excluded former leader. */
    private List<String> otherProcesses(Optional<MemberRecord> excluded) {
        return tracker.view().members().values().stream()
                .filter(member -> !member.isSameProcess(self)
                        && excluded.filter(member::isSameProcess).isEmpty())
                .map(MemberRecord::processId)
                .toList();
    }

    private boolean hasOtherProcesses() {
        return !otherProcesses(Optional.empty()).isEmpty();
    }

    private void checkFormerLeader() {
        if (formerLeader.isEmpty() || clock.nowMillis() < lostLeaderUntilMillis) {
            return;
        }
        long remainingMillis = formerLeaderUntilMillis - clock.nowMillis();
        if (remainingMillis <= 0) {
            formerLeader = Optional.empty();
        } else if (followers.haveLeftFormerLeader(otherProcesses(formerLeader), clock.nowMillis())) {
            log.write(
                    RouterEvent.FORMER_LEADER_ENDED,
                    () -> "former=" + formerLeader.get().name() + " earlier=" + remainingMillis
                            + "ms no instance follows it");
            // This holds for tokens only: targets may still accept the former leader's ownership requests, so the time
            // until which its grants count stays unchanged.
            tokenService.onFormerLeaderEnded();
            formerLeader = Optional.empty();
        }
    }

    /**
     * Ends the term of this instance on request of its successor.
     *
     * @param request contains the id of the lease that the successor has ended
     * @return whether this instance does not act under that lease any more and never will
     */
    public TermEndAnswer handleTermEndRequest(TermEndRequest request) {
        return new TermEndAnswer(leaderElection.stepDown(request.lease()));
    }

    /** Ends the term. Ownership requests in flight may still arrive at their targets. */
    public void onTermEnd() {
        keyAssigners.clear();
    }

    /** Runs the periodic work of the leader; does nothing while this instance does not lead. */
    public void tick() {
        if (!leaderElection.isLeading()) {
            return;
        }
        checkFormerLeader();
        FleetView view = tracker.view();
        view.configuration().ifPresent(configuration -> {
            for (Pool pool : configuration.pools()) {
                if (pool.keyed()) {
                    assignKeys(pool, view);
                }
            }
        });
    }

    /** Assigns the keys of a pool; a failure does not concern the other pools. */
    private void assignKeys(Pool pool, FleetView view) {
        new GuardedTask(
                        log,
                        "grants pool=" + pool.name(),
                        () -> keyAssigner(pool.name()).tick(view))
                .run();
    }

    private KeyAssigner keyAssigner(String pool) {
        return keyAssigners.computeIfAbsent(
                pool,
                name -> new KeyAssigner(
                        name,
                        store,
                        cache,
                        ownershipClient,
                        clock,
                        log,
                        leaderElection::isLeading,
                        formerLeaderUntilMillis));
    }

    /**
     * Records a load summary of an instance.
     *
     * @param processId id of the reporting process
     * @param summary the requests and response times that it measured
     * @return whether this instance leads and accepted the summary
     */
    public ReportAnswer handleLoadSummary(String processId, LoadSummary summary) {
        if (!leaderElection.isLeading()) {
            return new ReportAnswer(false);
        }
        if (!processId.equals(self.processId())) {
            followers.recordReport(processId, clock.nowMillis());
        }
        summary.keys().stream()
                .filter(count -> isKeyedPool(count.pool()))
                .forEach(count -> keyAssigner(count.pool()).recordRequests(count.key(), count.requests()));
        summary.timings()
                .forEach(timing -> keyAssigners
                        .values()
                        .forEach(each -> each.recordServiceTime(timing.life(), timing.answers(), timing.meanMillis())));
        return new ReportAnswer(true);
    }

    /**
     * Records targets that have said to another instance that they are leaving, so that their keys move. This instance
     * may learn of a target from the store later than the other one.
     *
     * @param message the targets
     * @return whether this instance leads and moves their keys
     */
    public ReportAnswer handleLeavingTargets(LeavingTargets message) {
        message.incarnations().forEach(tracker::recordLeaving);
        return new ReportAnswer(leaderElection.isLeading());
    }

    /** Returns whether a pool is configured; a report for any other name must not create state for it. */
    private boolean isKeyedPool(String pool) {
        return tracker.view()
                .configuration()
                .flatMap(configuration -> configuration.pool(pool))
                .filter(Pool::keyed)
                .isPresent();
    }

    /**
     * Issues rate-limit tokens of an organisation.
     *
     * @param request the organisation and the number of tokens
     * @return the issued tokens; none if this instance does not lead, or may be partitioned from all others
     */
    public BudgetGrant issueTokens(BudgetRequest request) {
        return leaderElection.isLeading() && !followers.isIsolated(this::hasOtherProcesses, clock.nowMillis())
                ? tokenService.issueTokens(tracker.view(), request)
                : new BudgetGrant(false, 0, 0);
    }
}
