package org.snipewind.clients.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Converts a configuration to nested maps with the field names of the YAML files. */
final class ConfigurationMapper {

    private ConfigurationMapper() {}

    /** Returns the four sections by name, with their entries sorted by name and fields in the documented order. */
    static Map<String, Map<String, Object>> toMaps(FleetConfiguration configuration) {
        Map<String, Map<String, Object>> sections = new LinkedHashMap<>();
        Map<String, Object> dataCentres = new TreeMap<>();
        configuration.dataCentres().forEach((name, settings) -> {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("region", settings.region());
            fields.put("inService", settings.inService());
            dataCentres.put(name, fields);
        });
        sections.put("dataCentres", dataCentres);
        Map<String, Object> pools = new TreeMap<>();
        configuration.pools().forEach((name, settings) -> pools.put(name, poolToMap(settings)));
        sections.put("pools", pools);
        Map<String, Object> routes = new TreeMap<>();
        configuration.routes().forEach((name, settings) -> routes.put(name, routeToMap(settings)));
        sections.put("routes", routes);
        Map<String, Object> organisations = new TreeMap<>();
        configuration.organisations().forEach((name, settings) -> {
            Map<String, Object> fields = budgetToMap(settings.budget());
            fields.put("weight", settings.weight());
            fields.put("keys", new TreeMap<>(settings.keys()));
            organisations.put(name, fields);
        });
        sections.put("organisations", organisations);
        return sections;
    }

    private static Map<String, Object> poolToMap(PoolSettings settings) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("divided", settings.divided());
        fields.put("checksTokens", settings.checksTokens());
        fields.put("slots", settings.slots());
        fields.put("longestDeadlineMillis", settings.longestDeadlineMillis());
        Map<String, Object> coldStart = new LinkedHashMap<>();
        coldStart.put("concurrency", settings.coldStart().concurrency());
        coldStart.put("answersPerStep", settings.coldStart().answersPerStep());
        fields.put("coldStart", coldStart);
        Map<String, Object> targets = new TreeMap<>();
        settings.targets().forEach((name, target) -> {
            Map<String, Object> targetFields = new LinkedHashMap<>();
            targetFields.put("address", target.address());
            targetFields.put("dataCentre", target.dataCentre());
            targetFields.put("drained", target.drained());
            targets.put(name, targetFields);
        });
        fields.put("targets", targets);
        return fields;
    }

    private static Map<String, Object> routeToMap(RouteSettings settings) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("path", settings.path());
        fields.put("pool", settings.pool());
        settings.key()
                .ifPresent(key -> fields.put("key", key.kind().name().toLowerCase(Locale.ROOT) + " " + key.name()));
        fields.put("idempotentMethods", new ArrayList<>(settings.idempotentMethods()));
        fields.put("urgent", settings.urgent());
        settings.openBudget().ifPresent(budget -> fields.put("open", budgetToMap(budget)));
        return fields;
    }

    private static Map<String, Object> budgetToMap(BudgetSettings budget) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("rate", budget.rate());
        fields.put("burst", budget.burst());
        return fields;
    }
}
