package org.snipewind.daemon.entry;

import java.util.concurrent.ScheduledExecutorService;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.router.metrics.ProcessMetrics;

/** The components through which a caller's request passes at its entry daemon. */
public final class RequestPipeline {

    private final RequestRouter router;
    private final AttemptRunner attemptRunner;
    private final TokenClient tokenClient;

    /**
     * Creates the components.
     *
     * @param memberId id of this daemon
     * @param settings settings of this daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param organisations organisations by key
     * @param tokenIssuers budgets whose tokens this daemon issues
     * @param supervisors targets that this daemon supervises
     * @param peers connections to peers
     * @param readiness tells whether requests can be served at all
     * @param workers runs delayed attempts
     * @param metrics metrics of this daemon
     */
    public RequestPipeline(
            String memberId,
            DaemonSettings settings,
            MillisClock clock,
            RecordCache records,
            OrganisationDirectory organisations,
            TokenIssuers tokenIssuers,
            SupervisorRegistry supervisors,
            PeerConnections peers,
            Readiness readiness,
            ScheduledExecutorService workers,
            ProcessMetrics metrics) {
        UndividedPoolSelector selector =
                new UndividedPoolSelector(memberId, settings, clock, records, supervisors, peers, metrics);
        SupervisorClient supervisorClient =
                new SupervisorClient(memberId, supervisors, peers, new SupervisorHealth(clock, peers), metrics);
        this.attemptRunner =
                new AttemptRunner(clock, records, selector, supervisorClient, settings.policy(), workers, metrics);
        this.tokenClient =
                new TokenClient(memberId, settings.policy(), clock, records, tokenIssuers, peers, workers, metrics);
        this.router = new RequestRouter(
                memberId, clock, records, organisations, tokenClient, attemptRunner, readiness, metrics);
        metrics.gauge("entry.parked", attemptRunner::parkedCount);
    }

    /**
     * Returns the router of callers' requests.
     *
     * @return the router
     */
    public RequestRouter router() {
        return router;
    }

    /** Resumes the parked requests after a record changed. */
    public void recordsChanged() {
        attemptRunner.resumeAllParked();
    }

    /** Refuses the requests that waited too long for a token, and resumes the parked requests that are due. */
    public void run() {
        tokenClient.refuseExpired();
        attemptRunner.resumeDueParked();
    }
}
