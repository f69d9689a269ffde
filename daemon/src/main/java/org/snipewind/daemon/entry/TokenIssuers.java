package org.snipewind.daemon.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.coordination.budget.BudgetRules;
import org.snipewind.coordination.budget.TokenGrant;
import org.snipewind.coordination.budget.TokenIssuer;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.daemon.fleet.RoleRights;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.protocol.BudgetGrant;
import org.snipewind.protocol.BudgetRequest;

/** Issues the rate-limit tokens of the budgets whose issuer role this daemon holds. */
public final class TokenIssuers {

    private final MillisClock clock;
    private final RecordCache records;
    private final RoleRights rights;
    private final Map<String, HeldBudget> heldBudgets = new ConcurrentHashMap<>();

    private record HeldBudget(long fencingToken, TokenIssuer issuer) {}

    /**
     * Creates issuers for no budget yet.
     *
     * @param clock the clock
     * @param records records of this daemon
     * @param rights the roles in which this daemon may act
     */
    public TokenIssuers(MillisClock clock, RecordCache records, RoleRights rights) {
        this.clock = clock;
        this.records = records;
        this.rights = rights;
    }

    /**
     * Returns the settings of a budget.
     *
     * @param configuration the configuration
     * @param budget name of the budget
     * @return its rate and burst, or empty if it is not configured
     */
    public static Optional<BudgetSettings> settingsOf(FleetConfiguration configuration, String budget) {
        if (BudgetNames.isRoute(budget)) {
            return Optional.ofNullable(configuration.routes().get(BudgetNames.routeOf(budget)))
                    .flatMap(route -> route.openBudget());
        }
        return Optional.ofNullable(configuration.organisations().get(budget)).map(settings -> settings.budget());
    }

    /**
     * Applies the roles and rates of the current records. All entry daemons use the tokens issued here, so a changed
     * rate takes effect for the whole fleet in one step.
     */
    public void recordsChanged() {
        for (String role : records.fleet().roles().keySet()) {
            if (role.startsWith(RoleNames.BUDGET_PREFIX)) {
                updateBudget(role, role.substring(RoleNames.BUDGET_PREFIX.length()));
            }
        }
        heldBudgets
                .keySet()
                .removeIf(
                        budget -> rights.assignedToken(RoleNames.budget(budget)).isEmpty());
    }

    /**
     * Issues tokens to an entry daemon.
     *
     * @param request the request of the entry daemon
     * @return the tokens, or a response that this daemon is not the issuer of the budget
     */
    public BudgetGrant issue(BudgetRequest request) {
        HeldBudget budget = heldBudgets.get(request.budget());
        Optional<Long> token = rights.activeToken(RoleNames.budget(request.budget()));
        if (budget == null || token.isEmpty() || token.get() != budget.fencingToken()) {
            return new BudgetGrant(false, 0, 0);
        }
        TokenGrant grant = budget.issuer().issue(request.tokens(), request.lifetimeMillis());
        return new BudgetGrant(true, grant.tokens(), grant.retryAfterMillis());
    }

    private void updateBudget(String role, String budget) {
        Optional<Long> token = rights.assignedToken(role);
        Optional<BudgetSettings> settings =
                records.configuration().flatMap(revision -> settingsOf(revision.configuration(), budget));
        if (token.isEmpty() || settings.isEmpty()) {
            return;
        }
        heldBudgets.compute(budget, (name, known) -> {
            if (known != null && known.fencingToken() == token.get()) {
                known.issuer().configure(settings.get().rate(), settings.get().burst());
                return known;
            }
            // The tokens that the previous holder of the role issued may be used until the end of their lifetime.
            long activeFromMillis = clock.nowMillis() + BudgetRules.TOKEN_LIFETIME_MILLIS;
            return new HeldBudget(
                    token.get(),
                    new TokenIssuer(clock, settings.get().rate(), settings.get().burst(), activeFromMillis, false));
        });
    }
}
