package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.snipewind.protocol.RolloutReport;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.rollout.RolloutService;
import org.snipewind.router.rollout.VersionEvidence;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.LeaderRecord;
import org.snipewind.router.state.MemberRecord;

/**
 * Reports what this instance observes of roll-outs to the leader, as long as there is an order. A report that is lost
 * needs no repetition, as the next one contains its counts. Confined to the control event loop.
 */
public final class RolloutReporter {

    /** Interval between reports, the same as that of load reports. */
    private static final long REPORT_INTERVAL_MILLIS = 400;

    private static final long CALL_TIMEOUT_MILLIS = 350;

    private final PeerNetwork network;
    private final FleetTracker tracker;
    private final VersionEvidence evidence;
    private final RolloutService service;
    private final EventLoop loop;
    private final RouterEventLog log;
    private final MemberRecord self;

    /**
     * Creates a reporter that is not started.
     *
     * @param network connections to the other instances
     * @param tracker provides the current fleet view
     * @param evidence what this instance observes
     * @param service called directly while this instance leads, and for the reports of others
     * @param loop the control event loop
     * @param log the event log
     * @param self this instance
     */
    public RolloutReporter(
            PeerNetwork network,
            FleetTracker tracker,
            VersionEvidence evidence,
            RolloutService service,
            EventLoop loop,
            RouterEventLog log,
            MemberRecord self) {
        this.network = network;
        this.tracker = tracker;
        this.evidence = evidence;
        this.service = service;
        this.loop = loop;
        this.log = log;
        this.self = self;
    }

    /** Starts the periodic reports. */
    public void start() {
        network.setRolloutReportHandler(service::handleReport);
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "report of roll-outs", this::report),
                REPORT_INTERVAL_MILLIS,
                REPORT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Has the leader decide about the roll-outs; does nothing while this instance does not lead. */
    public void decide() {
        service.tick();
    }

    private void report() {
        Optional<LeaderRecord> leader = tracker.view().leader();
        RolloutReport report = evidence.report();
        if (leader.isEmpty() || report.pools().isEmpty()) {
            return;
        }
        MemberRecord member = leader.get().member();
        if (member.isSameProcess(self)) {
            service.handleReport(self.processId(), report);
        } else {
            // The network counts failed calls by their type.
            network.call(member.peerAddress(), report, CALL_TIMEOUT_MILLIS);
        }
    }
}
