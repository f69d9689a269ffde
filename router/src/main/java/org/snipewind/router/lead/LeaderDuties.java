package org.snipewind.router.lead;

import java.util.HashMap;
import java.util.Map;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.protocol.DemandReport;
import org.snipewind.protocol.LoanAnswer;
import org.snipewind.router.log.DecisionLog;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.KeyOrders;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.StoreMirror;

/** What this instance does for the fleet while it leads; belongs to the control loop. */
public final class LeaderDuties {

    private final CoordinationStore store;
    private final StoreMirror mirror;
    private final FleetTracker tracker;
    private final KeyOrders orders;
    private final MillisClock clock;
    private final DecisionLog log;
    private final LoanDesk loans;
    private final Map<String, KeyGrantor> grantors = new HashMap<>();
    private Leadership leadership;

    /**
     * Creates duties of an instance that does not lead.
     *
     * @param store the store
     * @param mirror the copy of the store
     * @param tracker the view of the fleet
     * @param orders orders to targets
     * @param clock the clock of grants and loans
     * @param log the log
     */
    public LeaderDuties(
            CoordinationStore store,
            StoreMirror mirror,
            FleetTracker tracker,
            KeyOrders orders,
            MillisClock clock,
            DecisionLog log) {
        this.store = store;
        this.mirror = mirror;
        this.tracker = tracker;
        this.orders = orders;
        this.clock = clock;
        this.log = log;
        this.loans = new LoanDesk(clock);
    }

    /**
     * Sets the office on which the duties depend.
     *
     * @param office tells whether this instance leads
     */
    public void attach(Leadership office) {
        leadership = office;
    }

    /** Begins a term of office with nothing known of earlier ones but what the store holds. */
    public void begin() {
        grantors.clear();
        loans.open();
    }

    /** Ends the term of office; orders on their way may still arrive. */
    public void end() {
        grantors.clear();
    }

    /** Does what is due. */
    public void tick() {
        if (!leadership.isLeading()) {
            return;
        }
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

    private KeyGrantor grantor(String pool) {
        return grantors.computeIfAbsent(
                pool, name -> new KeyGrantor(name, store, mirror, orders, clock, log, leadership::isLeading));
    }

    /**
     * Takes a report of an instance.
     *
     * @param member name of the instance
     * @param report what it saw
     * @return its loans
     */
    public LoanAnswer report(String member, DemandReport report) {
        if (!leadership.isLeading()) {
            return new LoanAnswer(false, Map.of());
        }
        report.keys().forEach(count -> grantor(count.pool()).count(count.key(), count.requests()));
        report.timings()
                .forEach(timing -> grantors.values().forEach(each -> each.timing(timing.life(), timing.meanMillis())));
        return loans.lend(tracker.view(), member, report);
    }
}
