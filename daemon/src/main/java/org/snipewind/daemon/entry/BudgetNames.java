package org.snipewind.daemon.entry;

/** Names of budgets: an organisation's own name, or a name made from a route that is open to all. */
public final class BudgetNames {

    private static final String ROUTE_PREFIX = "route/";

    private BudgetNames() {}

    /**
     * Names the budget of a route that is open to all.
     *
     * @param route name of the route
     * @return the budget name, which no organisation can have
     */
    public static String ofRoute(String route) {
        return ROUTE_PREFIX + route;
    }

    /**
     * Tells whether a budget belongs to a route.
     *
     * @param budget name of the budget
     * @return true if it was made by {@link #ofRoute}
     */
    public static boolean isRoute(String budget) {
        return budget.startsWith(ROUTE_PREFIX);
    }

    /**
     * Finds the route of a budget.
     *
     * @param budget name of a budget made by {@link #ofRoute}
     * @return name of the route
     */
    public static String routeOf(String budget) {
        return budget.substring(ROUTE_PREFIX.length());
    }
}
