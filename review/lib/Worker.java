import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a worker, after the sections on workers and on their keys in PROTOCOL.md. */
class Worker extends Http {

    /** A range of keys that the worker holds until a time. */
    record Hold(int from, int to, long fence, long until) {}

    /** A request that the worker runs or ran. */
    static final class Run {
        final String id;
        final int key;
        final long startedAt = Clock.now();
        /** End of the hold under which the request began. */
        final long holdUntil;
        volatile long endedAt = Long.MAX_VALUE;

        Run(String id, int key, long holdUntil) {
            this.id = id;
            this.key = key;
            this.holdUntil = holdUntil;
        }
    }

    static final int SLOTS = 3;
    static final long HEARTBEAT_MILLIS = 1_500;

    final String id;
    final String service;
    final String zone;
    final boolean sharded;
    final long born = System.currentTimeMillis();
    private final Store store;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final List<Hold> holds = new ArrayList<>();
    private final long[] fences = new long[65_536];
    final Set<Run> running = ConcurrentHashMap.newKeySet();
    private long sequence;
    volatile String state = "ready";
    volatile long warmUntil;
    volatile long workMillis = 40;

    /** Whether the worker is lost: it answers nothing and reports nothing. */
    volatile boolean dark;

    Worker(Store store, String id, String service, String zone, boolean sharded) throws IOException {
        super(0);
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.sharded = sharded;
    }

    void start() {
        thread("heartbeat", () -> {
            while (true) {
                report();
                Clock.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Writes the worker's entry. */
    synchronized void report() {
        if (dark || store.resetting) {
            return;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + port());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("concurrency", SLOTS);
        entry.put("state", state);
        entry.put("warmup_left", Math.max(0, warmUntil - Clock.now()) + "ms");
        entry.put("sequence", ++sequence);
        entry.put("born", born);
        store.put("servers/" + id, Json.write(entry));
    }

    /** Stops answering and reporting; the store drops the entry after three intervals. */
    void goDark() {
        dark = true;
        synchronized (this) {
            holds.clear();
        }
        thread("expiry", () -> {
            Clock.sleep(3 * HEARTBEAT_MILLIS);
            store.remove("servers/" + id);
        });
    }

    @Override
    Reply handle(Message request, Connection connection) throws IOException {
        if (dark) {
            return null;
        }
        String expected = request.header("Snipewind-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return new Reply(421, "").with("Snipewind-Instance-Id", id).with("Snipewind-Not-Executed", "1");
        }
        if (request.target().equals("/grant")) {
            return echo(request, grant(Json.object(request.text())));
        }
        if (request.target().equals("/release")) {
            return echo(request, release(Json.object(request.text())));
        }
        if (request.target().equals("/health")) {
            Reply healthy = new Reply(200, "").with("Snipewind-Instance-Id", id).with("Snipewind-Server-Load", load());
            return echo(request, healthy);
        }
        return serve(request, connection);
    }

    /** Workers echo the id of a request if it has one. */
    private static Reply echo(Message request, Reply reply) {
        String requestId = request.header("Snipewind-Request-Id");
        return requestId == null ? reply : reply.with("Snipewind-Request-Id", requestId);
    }

    private String load() {
        return running.size() + "," + waiting.get() + "," + SLOTS + ",100";
    }

    private static int number(Map<String, Object> fields, String name) {
        return ((Number) fields.get(name)).intValue();
    }

    private synchronized Reply grant(Map<String, Object> fields) {
        int from = number(fields, "from");
        int to = number(fields, "target");
        long fence = ((Number) fields.get("fence")).longValue();
        for (int key = from; key <= to; key++) {
            if (fences[key] > fence) {
                return new Reply(409, "");
            }
        }
        boolean renewal = fences[from] == fence && heldUntil(from) > Clock.now();
        for (int key = from; key <= to; key++) {
            fences[key] = fence;
        }
        cut(from, to);
        long millis = Long.parseLong(fields.get("hold_time").toString().replace("ms", ""));
        holds.add(new Hold(from, to, fence, Clock.now() + millis));
        if (!renewal) {
            Record.line("worker " + id + " takes keys " + from + "-" + to + " fence " + fence);
        }
        granted(from, to, fence, renewal);
        return new Reply(200, "");
    }

    /** Called with each grant that the worker takes. */
    void granted(int from, int to, long fence, boolean renewal) {}

    private Reply release(Map<String, Object> fields) {
        int from = number(fields, "from");
        int to = number(fields, "target");
        long fence = ((Number) fields.get("fence")).longValue();
        synchronized (this) {
            for (int key = from; key <= to; key++) {
                fences[key] = Math.max(fences[key], fence);
            }
            cut(from, to);
        }
        Record.line("worker " + id + " is asked to release keys " + from + "-" + to + " fence " + fence);
        while (running.stream().anyMatch(run -> run.key >= from && run.key <= to)) {
            Clock.sleep(2);
        }
        Record.line("worker " + id + " has released keys " + from + "-" + to);
        return new Reply(200, "").with("Snipewind-Handover", "h-" + id + "-" + from);
    }

    private void cut(int from, int to) {
        for (Hold hold : List.copyOf(holds)) {
            if (hold.to() < from || hold.from() > to) {
                continue;
            }
            holds.remove(hold);
            if (hold.from() < from) {
                holds.add(new Hold(hold.from(), from - 1, hold.fence(), hold.until()));
            }
            if (hold.to() > to) {
                holds.add(new Hold(to + 1, hold.to(), hold.fence(), hold.until()));
            }
        }
    }

    /** Returns the time until which the worker holds a key, 0 if it doesn't. */
    synchronized long heldUntil(int key) {
        return holds.stream()
                .filter(hold -> hold.from() <= key && key <= hold.to())
                .mapToLong(Hold::until)
                .max()
                .orElse(0);
    }

    boolean holds(int key) {
        return !dark && heldUntil(key) > Clock.now();
    }

    private Reply serve(Message request, Connection connection) {
        String requestId = request.header("Snipewind-Request-Id");
        arrived(requestId, request);
        int key = -1;
        long until = 0;
        if (sharded) {
            key = Integer.parseInt(request.header("Snipewind-Shard-Key"));
        }
        waiting.incrementAndGet();
        try {
            if (!slots.tryAcquire(2, TimeUnit.SECONDS)) {
                return new Reply(503, "").with("Snipewind-Not-Executed", "1").with("Snipewind-Request-Id", requestId);
            }
        } catch (InterruptedException e) {
            return null;
        } finally {
            waiting.decrementAndGet();
        }
        try {
            Run run;
            synchronized (this) {
                until = sharded ? heldUntil(key) : Long.MAX_VALUE;
                if (sharded && until <= Clock.now()) {
                    return new Reply(421, "").with("Snipewind-Not-Executed", "1").with("Snipewind-Request-Id", requestId);
                }
                run = new Run(requestId, key, until);
                running.add(run);
            }
            began(run, request);
            Clock.sleep(workFor(request));
            run.endedAt = Clock.now();
            running.remove(run);
            return new Reply(200, id)
                    .with("Snipewind-Request-Id", requestId)
                    .with("Snipewind-Response-Signature", "s-" + requestId)
                    .with("Snipewind-Server-Load", load());
        } finally {
            slots.release();
        }
    }

    long workFor(Message request) {
        return workMillis;
    }

    void arrived(String requestId, Message request) {}

    void began(Run run, Message request) {}
}
