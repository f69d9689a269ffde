package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Settings of a route.
 *
 * @param path path prefix, matched by complete segments; the longest matching prefix applies
 * @param pool name of the pool that serves the route
 * @param key location of the key in a request; present exactly if the pool is divided by key
 * @param idempotentMethods HTTP methods whose requests may be executed more than once
 * @param urgent whether its requests take precedence over ordinary ones
 * @param openBudget limits of the rate and burst of a route that is open to all; empty if an organisation's key is
 *     required
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record RouteSettings(
        String path,
        String pool,
        Optional<KeySource> key,
        Set<String> idempotentMethods,
        boolean urgent,
        Optional<BudgetSettings> openBudget) {

    /** Copies the methods in alphabetical order. */
    public RouteSettings {
        idempotentMethods = Collections.unmodifiableSet(new TreeSet<>(idempotentMethods));
    }
}
