package org.snipewind.daemon.entry;

/** Names of rate budgets: the name of an organisation, or a name derived from a route that is open to all. */
public final class BudgetNames {

    private static final String ROUTE_PREFIX = "route/";

    private BudgetNames() {}

    /**
     * Returns the name of the budget of a route that is open to all.
     *
     * @param route name of the route
     * @return the name of the budget, which can't be the name of an organisation
     */
    public static String ofRoute(String route) {
        return ROUTE_PREFIX + route;
    }

    /**
     * Returns whether a budget belongs to a route.
     *
     * @param budget name of the budget
     * @return true if the name was created by {@link #ofRoute}
     */
    public static boolean isRoute(String budget) {
        return budget.startsWith(ROUTE_PREFIX);
    }

    /**
     * Returns the route of a budget.
     *
     * @param budget name of a budget created by {@link #ofRoute}
     * @return name of the route
     */
    public static String routeOf(String budget) {
        return budget.substring(ROUTE_PREFIX.length());
    }
}
