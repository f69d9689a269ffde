package org.snipewind.coordination.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** One version of the operators' configuration, indexed for lookups. */
public final class RoutingConfiguration {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Pool> pools;
    private final Map<String, Organisation> organisations;
    private final Map<String, Organisation> organisationsByKey = new HashMap<>();
    private final boolean keyRequired;
    private final CallerLimits limits;
    private final List<String> problems;
    private final Map<String, TreeSet<Integer>> prioritiesByPool = new HashMap<>();

    /**
     * Creates a configuration without problems that requires keys if there are organisations.
     *
     * @param version number of the version
     * @param routes all routes
     * @param pools all pools
     * @param organisations all organisations
     * @param limits limits on callers
     */
    public RoutingConfiguration(
            long version,
            Collection<Route> routes,
            Collection<Pool> pools,
            Collection<Organisation> organisations,
            CallerLimits limits) {
        this(version, routes, pools, organisations, !organisations.isEmpty(), limits, List.of());
    }

    /**
     * Creates a configuration.
     *
     * @param version number of the version
     * @param routes all routes
     * @param pools all pools
     * @param organisations all organisations
     * @param keyRequired whether requests need the key of an organisation, except on routes that are open to all; no
     *     key is valid if there are no organisations
     * @param limits limits on callers
     * @param problems descriptions of the parts that could not be read
     */
    public RoutingConfiguration(
            long version,
            Collection<Route> routes,
            Collection<Pool> pools,
            Collection<Organisation> organisations,
            boolean keyRequired,
            CallerLimits limits,
            Collection<String> problems) {
        this.version = version;
        this.keyRequired = keyRequired;
        // Sorted by descending length of the prefix, so that the first match has the longest prefix.
        this.routesByHost = routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(route -> route.host().toLowerCase(Locale.ROOT)));
        this.pools = pools.stream().collect(Collectors.toMap(Pool::name, pool -> pool));
        this.organisations =
                organisations.stream().collect(Collectors.toMap(Organisation::name, organisation -> organisation));
        organisations.forEach(
                organisation -> organisation.keys().forEach(key -> organisationsByKey.put(key, organisation)));
        this.limits = limits;
        this.problems = List.copyOf(problems);
        Set<Integer> organisationPriorities = organisations.stream()
                .flatMapToInt(organisation -> organisation.priority().stream())
                .boxed()
                .collect(Collectors.toSet());
        for (Route route : routes) {
            for (PoolShare share : route.shares()) {
                TreeSet<Integer> priorities =
                        prioritiesByPool.computeIfAbsent(share.pool(), name -> new TreeSet<>(organisationPriorities));
                priorities.add(route.priority());
            }
        }
    }

    /**
     * Finds the route of a request.
     *
     * @param host host header of the request, with or without a port
     * @param path path of the request without its query
     * @return the route with the longest matching prefix, or empty
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the organisation that holds a key.
     *
     * @param key key as the caller sent it
     * @return the organisation, or empty if no organisation holds the key
     */
    public Optional<Organisation> organisationOf(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Finds an organisation.
     *
     * @param name name of the organisation
     * @return the organisation, or empty
     */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(organisations.get(name));
    }

    /**
     * Returns whether requests need the key of an organisation.
     *
     * @return false if all routes are open to all callers
     */
    public boolean isKeyRequired() {
        return keyRequired;
    }

    /**
     * Finds a pool.
     *
     * @param name name of the pool
     * @return the pool, or empty
     */
    public Optional<Pool> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /**
     * Returns how many less urgent priorities the requests to a pool can have.
     *
     * @param pool name of the pool
     * @param priority priority of a request, 0 for the most urgent
     * @return 0 if no request to the pool can be less urgent
     */
    public int urgencyRank(String pool, int priority) {
        TreeSet<Integer> priorities = prioritiesByPool.get(pool);
        return priorities == null ? 0 : priorities.tailSet(priority, false).size();
    }

    /**
     * Lists the pools.
     *
     * @return all pools
     */
    public Collection<Pool> pools() {
        return pools.values();
    }

    /**
     * Lists the organisations.
     *
     * @return all organisations; if there are none, keys may still be required
     */
    public Collection<Organisation> organisations() {
        return organisations.values();
    }

    /**
     * Returns the number of this version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the problems of this version: parts that could not be read and are not served or take a strict value.
     *
     * @return one description for each part, empty if all parts were readable
     */
    public List<String> problems() {
        return problems;
    }
}
