package org.snipewind.router.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.quota.QuotaRules;
import org.snipewind.coordination.quota.RateLender;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.protocol.DemandReport;
import org.snipewind.protocol.LoanAnswer;
import org.snipewind.router.state.FleetView;

/**
 * Lends the organisations' rates to the instances. A new leader lends only once each instance has told it what it holds,
 * or once all loans of a former leader have certainly ended. Belongs to the control loop.
 */
final class LoanDesk {

    private final MillisClock clock;
    private final Map<String, RateLender> lenders = new HashMap<>();
    private final Set<String> reported = new HashSet<>();
    private long openedAtMillis;

    LoanDesk(MillisClock clock) {
        this.clock = clock;
    }

    /** Forgets all loans, for a new term of office. */
    void open() {
        lenders.clear();
        reported.clear();
        openedAtMillis = clock.nowMillis();
    }

    /** Notes what the sender holds and answers with its new loans. */
    LoanAnswer lend(FleetView view, String member, DemandReport report) {
        reported.add(member);
        boolean mayLend = reported.containsAll(view.members().keySet())
                || clock.nowMillis() - openedAtMillis > LeaderTimes.LEASE_MILLIS + QuotaRules.LOAN_MILLIS;
        Map<String, Double> lent = new HashMap<>();
        for (DemandReport.RateDemand demand : report.rates()) {
            Optional<Organisation> organisation =
                    view.configuration().flatMap(configuration -> configuration.organisation(demand.organisation()));
            if (organisation.isEmpty() || !organisation.get().isLimited()) {
                continue;
            }
            double rate = organisation.get().ratePerSecond();
            RateLender lender = lenders.computeIfAbsent(demand.organisation(), name -> new RateLender(clock));
            lender.setRate(rate);
            if (mayLend) {
                double fixed = rate * QuotaRules.FIXED_SHARE / view.fleetSize();
                lent.put(demand.organisation(), lender.lend(member, demand.demandPerSecond(), fixed));
            } else {
                lender.noteHeld(member, demand.lentPerSecond());
            }
        }
        return new LoanAnswer(mayLend, lent);
    }
}
