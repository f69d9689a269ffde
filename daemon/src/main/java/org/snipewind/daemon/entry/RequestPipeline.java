package org.snipewind.daemon.entry;

import java.util.concurrent.ScheduledExecutorService;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.router.metrics.RouterMetrics;

/** The parts that a caller's request passes on its entry daemon. */
public final class RequestPipeline {

    private final RequestRouter router;
    private final AttemptRunner attempts;
    private final TokenClient budgets;

    /**
     * Creates the entry path.
     *
     * @param memberId id of this daemon
     * @param settings settings of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param organisations organisations by key
     * @param keepers budgets that this daemon keeps
     * @param supervisors targets that this daemon supervises
     * @param peers connections to peers
     * @param readiness whether requests may be served at all
     * @param workers runs delayed attempts
     * @param metrics metrics of this daemon
     */
    public RequestPipeline(
            String memberId,
            DaemonSettings settings,
            MillisClock clock,
            RecordCache records,
            OrganisationDirectory organisations,
            TokenIssuers keepers,
            SupervisorRegistry supervisors,
            PeerConnections peers,
            Readiness readiness,
            ScheduledExecutorService workers,
            RouterMetrics metrics) {
        UndividedPoolSelector board =
                new UndividedPoolSelector(memberId, settings, clock, records, supervisors, peers, metrics);
        SupervisorClient client =
                new SupervisorClient(memberId, supervisors, peers, new SupervisorHealth(clock, peers), metrics);
        this.attempts = new AttemptRunner(clock, records, board, client, settings.policy(), workers, metrics);
        this.budgets = new TokenClient(memberId, settings.policy(), clock, records, keepers, peers, workers, metrics);
        this.router = new RequestRouter(memberId, clock, records, organisations, budgets, attempts, readiness, metrics);
        metrics.gauge("entry.parked", attempts::parkedCount);
    }

    /**
     * Gives the router of callers' requests.
     *
     * @return the router
     */
    public RequestRouter router() {
        return router;
    }

    /** Lets requests that wait for an owner look again after a record changed. */
    public void recordsChanged() {
        attempts.resumeParked();
    }

    /** Refuses what waited too long and resumes what is due. */
    public void run() {
        budgets.expire();
        attempts.resumeDue();
    }
}
