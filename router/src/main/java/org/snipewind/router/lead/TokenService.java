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
import org.snipewind.protocol.BudgetRequest;
import org.snipewind.router.state.FleetView;

/** Issues the rate-limit tokens of all organisations while this instance leads. Confined to the control event loop. */
final class TokenService {

    private final MillisClock clock;
    private final Map<String, TokenIssuer> issuers = new HashMap<>();
    private long issuingFromMillis;

    TokenService(MillisClock clock) {
        this.clock = clock;
    }

    /** Starts a term. No token is issued until the last tokens of the former leader have expired. */
    void onTermStart(long formerLeaderUntilMillis) {
        issuers.clear();
        issuingFromMillis = formerLeaderUntilMillis + QuotaSplit.TOKEN_LIFETIME_MILLIS;
    }

    /** Brings the start of issuing forward, to one token lifetime after the former leader is known to have ended. */
    void onFormerLeaderEnded() {
        long issuingFrom = clock.nowMillis() + QuotaSplit.TOKEN_LIFETIME_MILLIS;
        if (issuingFrom < issuingFromMillis) {
            issuingFromMillis = issuingFrom;
        }
    }

    BudgetGrant issueTokens(FleetView view, BudgetRequest request) {
        String organisationName = request.budget();
        long waitMillis = issuingFromMillis - clock.nowMillis();
        if (waitMillis > 0) {
            // The organisation has not exceeded its rate; no instance may issue its tokens yet.
            return new BudgetGrant(false, 0, waitMillis);
        }
        Optional<Organisation> organisation =
                view.configuration().flatMap(configuration -> configuration.organisation(organisationName));
        if (organisation.isEmpty()) {
            return new BudgetGrant(false, 0, 0);
        }
        double rate = QuotaSplit.centralRatePerSecond(organisation.get(), view.fleetSize());
        double burst = QuotaSplit.centralBurst(organisation.get(), view.fleetSize());
        TokenIssuer issuer = issuers.computeIfAbsent(
                organisationName,
                key -> new TokenIssuer(clock, rate, burst, issuingFromMillis, false, QuotaSplit.TOKEN_LIFETIME_MILLIS));
        issuer.configure(rate, burst);
        TokenGrant grant = issuer.issue(request.tokens(), request.lifetimeMillis());
        return new BudgetGrant(true, grant.tokens(), grant.retryAfterMillis());
    }
}
