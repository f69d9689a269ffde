import java.util.LinkedHashMap;
import java.util.Map;

/** The configuration of a small deployment, with figures of the site file jalsetu-gw. */
final class Site {

    final Map<String, Object> routes = new LinkedHashMap<>();
    final Map<String, Object> services = new LinkedHashMap<>();
    final Map<String, Object> tenants = new LinkedHashMap<>();
    private int version = 3;

    void route(String name, String prefix, String kind, String service, int timeoutMillis, int aimMillis) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("host", "h.example");
        route.put("path_prefix", prefix);
        route.put("route_kind", kind);
        route.put("timeout", timeoutMillis + "ms");
        route.put("target_latency", aimMillis + "ms");
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", 2);
        route.put("allow_anonymous", false);
        routes.put(name, route);
    }

    void service(String name, boolean sharded) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("health_path", "/health");
        service.put("max_connections", 48);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("warmup", "3s");
        service.put("warmup_per_s", 16.0);
        if (sharded) {
            service.put("sharded", true);
            service.put("warm", "2s");
            service.put("grants", "invocation");
        }
        services.put(name, service);
    }

    void tenant(String name, String key, int ratePerSecond) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("api_keys", java.util.List.of(key));
        tenant.put("priority", 1);
        tenant.put("rate_per_s", ratePerSecond);
        tenant.put("burst", ratePerSecond);
        tenants.put(name, tenant);
    }

    /** Writes the next version and returns its number. */
    int apply(Store store) {
        version += 2;
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16_384);
        limits.put("max_body_bytes", 67_108_864);
        limits.put("header_timeout", "3000ms");
        limits.put("idle_timeout", "15000ms");
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("version", "r" + version);
        all.put("routes", routes);
        all.put("services", services);
        all.put("limits", limits);
        all.put("tenants", tenants);
        store.put("op/config", Json.write(all));
        Record.line("the operator's version r" + version + " is acknowledged");
        return version;
    }
}
