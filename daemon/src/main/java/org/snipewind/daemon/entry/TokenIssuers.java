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

/** Issues the tokens of the budgets whose keeper role this daemon holds. */
public final class TokenIssuers {

    private final MillisClock clock;
    private final RecordCache records;
    private final RoleRights rights;
    private final Map<String, HeldBudget> held = new ConcurrentHashMap<>();

    private record HeldBudget(long token, TokenIssuer keeper) {}

    /**
     * Creates a set without budgets.
     *
     * @param clock the clock
     * @param records records of this daemon
     * @param rights rights of this daemon
     */
    public TokenIssuers(MillisClock clock, RecordCache records, RoleRights rights) {
        this.clock = clock;
        this.records = records;
        this.rights = rights;
    }

    /**
     * Finds the settings of a budget.
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

    /** Follows the roles and the configuration; a change of a rate takes effect here in one step. */
    public void recordsChanged() {
        for (String role : records.fleet().roles().keySet()) {
            if (role.startsWith(RoleNames.BUDGET_PREFIX)) {
                followBudget(role, role.substring(RoleNames.BUDGET_PREFIX.length()));
            }
        }
        held.keySet()
                .removeIf(
                        budget -> rights.assignedToken(RoleNames.budget(budget)).isEmpty());
    }

    /**
     * Issues tokens.
     *
     * @param request the request of an entry daemon
     * @return the tokens, or an answer that says that this daemon is not the keeper
     */
    public BudgetGrant issue(BudgetRequest request) {
        HeldBudget budget = held.get(request.budget());
        Optional<Long> token = rights.activeToken(RoleNames.budget(request.budget()));
        if (budget == null || token.isEmpty() || token.get() != budget.token()) {
            return new BudgetGrant(false, 0, 0);
        }
        TokenGrant decision = budget.keeper().issue(request.tokens());
        return new BudgetGrant(true, decision.tokens(), decision.retryAfterMillis());
    }

    private void followBudget(String role, String budget) {
        Optional<Long> token = rights.assignedToken(role);
        Optional<BudgetSettings> settings =
                records.configuration().flatMap(revision -> settingsOf(revision.configuration(), budget));
        if (token.isEmpty() || settings.isEmpty()) {
            return;
        }
        held.compute(budget, (name, known) -> {
            if (known != null && known.token() == token.get()) {
                known.keeper().configure(settings.get().rate(), settings.get().burst());
                return known;
            }
            // Tokens of a predecessor may still be used for their whole life.
            long activeFrom = clock.nowMillis() + BudgetRules.TOKEN_LIFETIME_MILLIS;
            return new HeldBudget(
                    token.get(),
                    new TokenIssuer(clock, settings.get().rate(), settings.get().burst(), activeFrom, false));
        });
    }
}
