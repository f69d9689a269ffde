import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Stand-in of the platform's store, after the section on it in PROTOCOL.md. */
final class Store extends Http {

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Lease(long millis, long endsAt) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long nextLease = 1000;

    /** Called with the key of each write by the system, after it was carried out. */
    volatile Predicate<String> loseAnswerOf = key -> false;

    /** Called once the answer to a write has been lost. */
    volatile Runnable onLost = () -> {};

    Store() throws IOException {
        super(0);
        thread("leases", this::expireLeases);
    }

    private void expireLeases() {
        while (true) {
            Clock.sleep(20);
            synchronized (this) {
                long now = Clock.now();
                for (Map.Entry<Long, Lease> entry : Map.copyOf(leases).entrySet()) {
                    if (entry.getValue().endsAt() <= now) {
                        endLease(entry.getKey());
                    }
                }
            }
        }
    }

    synchronized long put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(Map.of("key", key, "revision", revision, "tombstone", true));
            notifyAll();
        }
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.ISO_8859_1);
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(fields(key, item));
        notifyAll();
    }

    private static Map<String, Object> fields(String key, Item item) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("key", key);
        fields.put("value", Base64.getEncoder().encodeToString(item.value()));
        fields.put("revision", item.revision());
        fields.put("create_rev", item.created());
        fields.put("lease", item.lease());
        return fields;
    }

    @Override
    Reply handle(Message request, Connection connection) throws IOException {
        Clock.sleep(2);
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String part : target[1].split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        Map<String, Object> body = Json.object(request.text());
        String path = target[0];
        if (path.equals("/kv-range")) {
            return range(query.get("path_prefix"), query.getOrDefault("after", ""));
        }
        if (path.equals("/kv-watch")) {
            return watch(Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
        }
        if (path.equals("/kv-txn")) {
            return commit(body);
        }
        if (path.equals("/kv-lease")) {
            return openLease(body.get("ttl_time").toString());
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        synchronized (this) {
            Lease known = leases.get(lease);
            if (known == null) {
                return json(404, Map.of());
            }
            if (path.startsWith("/kv-keep/")) {
                leases.put(lease, new Lease(known.millis(), Clock.now() + known.millis()));
                return json(200, Map.of("lease", lease, "ttl_time", known.millis() + "ms"));
            }
            endLease(lease);
            return json(200, Map.of());
        }
    }

    private static Reply json(int status, Map<String, ?> fields) {
        return new Reply(status, Json.write(fields)).with("Content-Type", "application/json");
    }

    private synchronized Reply range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                found.add(fields(key, item));
            }
        });
        return json(200, Map.of("items", found, "truncated", false, "current_rev", revision));
    }

    private synchronized Reply watch(long after, long waitMillis) {
        long end = Clock.now() + waitMillis;
        while (revision <= after && Clock.now() < end && !resetting) {
            try {
                wait(20);
            } catch (InterruptedException e) {
                return json(503, Map.of());
            }
        }
        List<Object> events = new ArrayList<>();
        history.stream().filter(event -> (Long) event.get("revision") > after).forEach(events::add);
        return json(200, Map.of("events", events, "current_rev", revision));
    }

    @SuppressWarnings("unchecked")
    private Reply commit(Map<String, Object> body) {
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.get("writes");
        long written;
        synchronized (this) {
            for (Map<String, Object> row : (List<Map<String, Object>>) body.get("precondition")) {
                Item item = items.get(row.get("key"));
                if ((item == null ? 0 : item.revision()) != (Long) row.get("revision")) {
                    List<Object> present = item == null ? List.of() : List.of(fields((String) row.get("key"), item));
                    return json(412, Map.of("items", present));
                }
            }
            for (Map<String, Object> each : writes) {
                long lease = (Long) each.get("lease");
                if (lease != 0 && !leases.containsKey(lease)) {
                    return json(404, Map.of());
                }
            }
            for (Map<String, Object> each : writes) {
                byte[] value = Base64.getDecoder().decode((String) each.get("value"));
                write((String) each.get("key"), value, (Long) each.get("lease"));
            }
            written = revision;
        }
        for (Map<String, Object> each : writes) {
            if (loseAnswerOf.test((String) each.get("key"))) {
                onLost.run();
                return null;
            }
        }
        return json(200, Map.of("revision", written));
    }

    private synchronized Reply openLease(String time) {
        long millis = Long.parseLong(time.replace("ms", ""));
        nextLease++;
        leases.put(nextLease, new Lease(millis, Clock.now() + millis));
        return json(200, Map.of("lease", nextLease, "ttl_time", time));
    }

    private synchronized void endLease(long lease) {
        leases.remove(lease);
        for (Map.Entry<String, Item> entry : Map.copyOf(items).entrySet()) {
            if (entry.getValue().lease() == lease) {
                remove(entry.getKey());
            }
        }
    }
}
