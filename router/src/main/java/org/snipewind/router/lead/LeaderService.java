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
import org.snipewind.protocol.LoadSummary;
import org.snipewind.protocol.ReportAnswer;
import org.snipewind.protocol.TermEndAnswer;
import org.snipewind.protocol.TermEndRequest;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.KeyOwnershipClient;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;
import org.snipewind.router.state.StoreCache;

/** What this instance does for the fleet while it leads; belongs to the control loop. */
public final class LeaderService {

    private final CoordinationStore store;
    private final StoreCache mirror;
    private final FleetTracker tracker;
    private final KeyOwnershipClient orders;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final MemberRecord self;
    private final TokenService tokens;
    private final FollowerTracker followers = new FollowerTracker();
    private Optional<MemberRecord> former = Optional.empty();
    private long formerUntilMillis;
    private final Map<String, KeyAssigner> grantors = new HashMap<>();
    private LeaderElection leadership;

    /**
     * Creates duties of an instance that does not lead.
     *
     * @param store the store
     * @param mirror the copy of the store
     * @param tracker the view of the fleet
     * @param orders orders to targets
     * @param clock the clock of grants and tokens
     * @param log the log
     * @param self this instance
     */
    public LeaderService(
            CoordinationStore store,
            StoreCache mirror,
            FleetTracker tracker,
            KeyOwnershipClient orders,
            MillisClock clock,
            RouterEventLog log,
            MemberRecord self) {
        this.store = store;
        this.mirror = mirror;
        this.tracker = tracker;
        this.orders = orders;
        this.clock = clock;
        this.log = log;
        this.self = self;
        this.tokens = new TokenService(clock);
    }

    /**
     * Sets the office on which the duties depend.
     *
     * @param office tells whether this instance leads
     */
    public void setLeaderElection(LeaderElection office) {
        leadership = office;
    }

    /**
     * Begins a term of office with nothing known of earlier ones but what the store holds.
     *
     * @param formerUntil time until which the former leader may still act
     * @param deposed the former leader, if it may not know that its term has ended
     */
    public void onTermStart(long formerUntil, Optional<MemberRecord> deposed) {
        grantors.clear();
        formerUntilMillis = formerUntil;
        former = deposed;
        followers.beginTerm(clock.nowMillis());
        tokens.open(formerUntil);
    }

    /** Notes that the former leader has ended sooner than was announced; its tokens live on for a short time. */
    public void onFormerLeaderEnded() {
        formerUntilMillis = Math.min(formerUntilMillis, clock.nowMillis());
        tokens.formerEnded();
        former = Optional.empty();
    }

    /** Processes that could follow a leader, apart from this one and a former leader that is gone. */
    private List<String> others(Optional<MemberRecord> excluded) {
        return tracker.view().members().values().stream()
                .filter(member -> !member.isSameProcess(self)
                        && excluded.filter(member::isSameProcess).isEmpty())
                .map(MemberRecord::processId)
                .toList();
    }

    private boolean hasOthers() {
        return !others(Optional.empty()).isEmpty();
    }

    private void checkFormerLeader() {
        if (former.isEmpty()) {
            return;
        }
        long restMillis = formerUntilMillis - clock.nowMillis();
        if (restMillis <= 0) {
            former = Optional.empty();
        } else if (followers.haveLeftFormerLeader(others(former), clock.nowMillis())) {
            log.write(
                    RouterEvent.FORMER_LEADER_ENDED,
                    () -> "former=" + former.get().name() + " earlier=" + restMillis + "ms no instance follows it");
            // Keys are another matter: targets may still take its orders, so their times stay as they are.
            tokens.formerEnded();
            former = Optional.empty();
        }
    }

    /**
     * Ends a term of this instance for its successor.
     *
     * @param request names the lease
     * @return whether this instance does not act under that lease any more
     */
    public TermEndAnswer handleTermEndRequest(TermEndRequest request) {
        return new TermEndAnswer(leadership.stepDown(request.lease()));
    }

    /** Ends the term of office; orders on their way may still arrive. */
    public void onTermEnd() {
        grantors.clear();
    }

    /** Does what is due. */
    public void tick() {
        if (!leadership.isLeading()) {
            return;
        }
        checkFormerLeader();
        FleetView view = tracker.view();
        view.configuration().ifPresent(configuration -> {
            for (Pool pool : configuration.pools()) {
                if (pool.keyed()) {
                    tick(pool, view);
                }
            }
        });
    }

    private void tick(Pool pool, FleetView view) {
        try {
            grantor(pool.name()).tick(view);
        } catch (RuntimeException e) {
            log.write(RouterEvent.TASK_FAILED, () -> "task=grants pool=" + pool.name() + " cause=" + e);
        }
    }

    private KeyAssigner grantor(String pool) {
        return grantors.computeIfAbsent(
                pool,
                name -> new KeyAssigner(
                        name, store, mirror, orders, clock, log, leadership::isLeading, formerUntilMillis));
    }

    /**
     * Takes a summary of the load at an instance.
     *
     * @param process the process that reports
     * @param summary what it saw
     * @return whether this instance leads
     */
    public ReportAnswer handleLoadSummary(String process, LoadSummary summary) {
        if (!leadership.isLeading()) {
            return new ReportAnswer(false);
        }
        if (!process.equals(self.processId())) {
            followers.recordReport(process, clock.nowMillis());
        }
        summary.keys().forEach(count -> grantor(count.pool()).count(count.key(), count.requests()));
        summary.timings()
                .forEach(timing -> grantors.values().forEach(each -> each.timing(timing.life(), timing.meanMillis())));
        return new ReportAnswer(true);
    }

    /**
     * Issues tokens of an organisation.
     *
     * @param request the organisation and the number of tokens
     * @return the tokens, none if this instance does not lead or may be cut off from all others
     */
    public BudgetGrant issueTokens(BudgetRequest request) {
        return leadership.isLeading() && !followers.isIsolated(this::hasOthers, clock.nowMillis())
                ? tokens.issue(tracker.view(), request.budget(), request.tokens())
                : new BudgetGrant(false, 0, 0);
    }
}
