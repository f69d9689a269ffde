package org.snipewind.router.lead;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.budget.TokenGrant;
import org.snipewind.coordination.budget.TokenIssuer;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.quota.QuotaSplit;
import org.snipewind.coordination.routing.Organisation;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.router.state.FleetView;

/** Issues the organisations' tokens while this instance leads; belongs to the control loop. */
final class TokenService {

    private final MillisClock clock;
    private final Map<String, TokenIssuer> keepers = new HashMap<>();
    private long activeFromMillis;

    TokenService(MillisClock clock) {
        this.clock = clock;
    }

    /** Starts a term of office; no token is issued while one of the former leader can be used. */
    void open(long formerUntilMillis) {
        keepers.clear();
        activeFromMillis = formerUntilMillis + QuotaSplit.TOKEN_LIFETIME_MILLIS;
    }

    /** Issues tokens as soon as the last ones of the former leader have run out. */
    void formerEnded() {
        long active = clock.nowMillis() + QuotaSplit.TOKEN_LIFETIME_MILLIS;
        if (active < activeFromMillis) {
            activeFromMillis = active;
        }
    }

    BudgetGrant issue(FleetView view, String name, int wanted) {
        long waitMillis = activeFromMillis - clock.nowMillis();
        if (waitMillis > 0) {
            // The organisation is not over its rate, there is nobody yet who may issue its tokens.
            return new BudgetGrant(false, 0, waitMillis);
        }
        Optional<Organisation> organisation =
                view.configuration().flatMap(configuration -> configuration.organisation(name));
        if (organisation.isEmpty()) {
            return new BudgetGrant(false, 0, 0);
        }
        double rate = QuotaSplit.centralRatePerSecond(organisation.get(), view.fleetSize());
        int burst = QuotaSplit.centralBurst(organisation.get(), view.fleetSize());
        TokenIssuer keeper = keepers.computeIfAbsent(
                name,
                key -> new TokenIssuer(clock, rate, burst, activeFromMillis, false, QuotaSplit.TOKEN_LIFETIME_MILLIS));
        keeper.configure(rate, burst);
        TokenGrant decision = keeper.issue(wanted);
        return new BudgetGrant(true, decision.tokens(), decision.retryAfterMillis());
    }
}
