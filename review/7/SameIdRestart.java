package org.snipewind.platform;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers of a divided service, one at a time, are cut off from the store, crash behind the cut and start again under
 * their id and address. Each life holds and knows nothing of the one before. The check is the OWNER rule: a worker takes no key with an epoch number that isn't above all with
 * which others, here also earlier lives, had it.
 */
public final class SameIdRestart {

    private static final int KEYS = 65_536;
    private static final String POOL = "reels";
    private static final long RUN_MILLIS = 75_000;
    private static final long CUT_EVERY_MILLIS = 12_000;

    /** Length of a cut of one worker from the store; requests and orders reach the worker all the while. */
    private static final long CUT_MILLIS = 5_000;

    /** Time from the beginning of a cut to the crash of the worker. */
    private static final long CRASH_AFTER_MILLIS = 500;

    /** Time from a crash until the worker listens again. */
    private static final long DOWN_MILLIS = 300;

    /** Interval at which a worker writes its entry; the store removes an entry after three of them in silence. */
    private static final long HEARTBEAT_MILLIS = 870;

    private static ReviewFleet fleet;

    /** The highest epoch with which each key was held, and by which life. */
    private static final long[] highestEpoch = new long[KEYS];

    private static final String[] highestHolder = new String[KEYS];
    private static final List<String> violations = new ArrayList<>();
    private static final AtomicInteger grantsTaken = new AtomicInteger();

    /** A worker with successive lives at one address. */
    private static final class Worker {
        final String id;
        final int port;
        final ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        private HttpServer server;
        private int life;
        private long born;
        private long sequence;
        private volatile boolean cutFromStore;
        private volatile long lastBeat;
        private volatile boolean listed;
        private final long[] seenEpoch = new long[KEYS];
        private final long[] heldEpoch = new long[KEYS];
        private final long[] heldUntil = new long[KEYS];

        Worker(String id) {
            this.id = id;
            this.port = ReviewFleet.freePortPair();
        }

        String lifeName() {
            return id + " life " + life;
        }

        synchronized void start() throws IOException {
            life++;
            born = System.currentTimeMillis();
            sequence = 1;
            java.util.Arrays.fill(seenEpoch, 0);
            java.util.Arrays.fill(heldEpoch, 0);
            java.util.Arrays.fill(heldUntil, 0);
            int servedLife = life;
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 100);
            server.setExecutor(threads);
            server.createContext("/", exchange -> handle(exchange, servedLife));
            server.start();
            fleet.note(lifeName() + " listens");
        }

        /** Writes the entry, unless the worker is cut off from the store. */
        void beat() {
            if (cutFromStore) {
                return;
            }
            String entry;
            boolean first;
            synchronized (this) {
                first = sequence == 1;
                entry = ReviewFleet.registration(POOL, port, "zone-a", "ready", sequence++, born);
            }
            lastBeat = now();
            listed = true;
            fleet.store.put("servers/" + id, entry);
            if (first) {
                fleet.note(lifeName() + " has registered itself, born " + born);
            }
        }

        /** Removes the entry as the store does after three intervals without a word of the worker. */
        void expire() {
            if (listed && now() - lastBeat > 3 * HEARTBEAT_MILLIS) {
                listed = false;
                fleet.store.remove("servers/" + id);
                fleet.note("the entry of " + id + " has lapsed");
            }
        }

        void crash() {
            HttpServer ending;
            synchronized (this) {
                ending = server;
            }
            fleet.note(lifeName() + " crashes");
            ending.stop(0);
        }

        private void handle(HttpExchange exchange, int servedLife) throws IOException {
            try (exchange) {
                byte[] body = exchange.getRequestBody().readAllBytes();
                String path = exchange.getRequestURI().getPath();
                String requestId = exchange.getRequestHeaders().getFirst("Snipewind-Request-Id");
                if (requestId != null) {
                    exchange.getResponseHeaders().set("Snipewind-Request-Id", requestId);
                }
                String expected = exchange.getRequestHeaders().getFirst("Snipewind-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    exchange.getResponseHeaders().set("Snipewind-Not-Executed", "1");
                    respond(exchange, 421);
                } else if (path.equals("/grant")) {
                    respond(exchange, grant(JSON.std.mapFrom(body), servedLife) ? 200 : 409);
                } else if (path.equals("/release")) {
                    release(JSON.std.mapFrom(body));
                    exchange.getResponseHeaders().set("Snipewind-Handover", id + "-" + servedLife);
                    respond(exchange, 200);
                } else if (path.equals("/health")) {
                    exchange.getResponseHeaders().set("Snipewind-Instance-Id", id);
                    respond(exchange, 200);
                } else {
                    serve(exchange);
                }
            }
        }

        private synchronized boolean grant(Map<String, Object> fields, int servedLife) {
            int from = ((Number) fields.get("from")).intValue();
            int to = ((Number) fields.get("target")).intValue();
            long epoch = ((Number) fields.get("fence")).longValue();
            long hold = Long.parseLong(fields.get("hold_time").toString().replace("ms", ""));
            if (servedLife != life) {
                return false;
            }
            for (int key = from; key <= to; key++) {
                if (seenEpoch[key] > epoch) {
                    return false;
                }
            }
            grantsTaken.incrementAndGet();
            boolean taken = false;
            for (int key = from; key <= to; key++) {
                taken |= heldEpoch[key] != epoch;
                seenEpoch[key] = epoch;
                heldEpoch[key] = epoch;
                heldUntil[key] = now() + hold;
            }
            if (taken) {
                check(from, to, epoch, lifeName());
            }
            return true;
        }

        private synchronized void release(Map<String, Object> fields) {
            long epoch = ((Number) fields.get("fence")).longValue();
            for (int key = ((Number) fields.get("from")).intValue();
                    key <= ((Number) fields.get("target")).intValue();
                    key++) {
                seenEpoch[key] = Math.max(seenEpoch[key], epoch);
                heldEpoch[key] = 0;
                heldUntil[key] = 0;
            }
        }

        private void serve(HttpExchange exchange) throws IOException {
            int key = Integer.parseInt(exchange.getRequestHeaders().getFirst("Snipewind-Shard-Key"));
            boolean holds;
            synchronized (this) {
                holds = heldUntil[key] > now();
            }
            if (!holds) {
                exchange.getResponseHeaders().set("Snipewind-Not-Executed", "1");
                respond(exchange, 421);
                return;
            }
            exchange.getResponseHeaders().set("Snipewind-Response-Signature", "by-" + id);
            respond(exchange, 200);
        }

        private static void respond(HttpExchange exchange, int status) throws IOException {
            exchange.sendResponseHeaders(status, 2);
            exchange.getResponseBody().write(new byte[] {'o', 'k'});
        }
    }

    private SameIdRestart() {}

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static void check(int from, int to, long epoch, String holder) {
        synchronized (violations) {
            String problem = null;
            for (int key = from; key <= to; key++) {
                if (problem == null && highestEpoch[key] >= epoch && !holder.equals(highestHolder[key])) {
                    problem = "key " + key + " had epoch " + highestEpoch[key] + " at " + highestHolder[key];
                }
                if (epoch >= highestEpoch[key]) {
                    highestEpoch[key] = epoch;
                    highestHolder[key] = holder;
                }
            }
            String grant = holder + " takes the keys " + from + " to " + to + " with epoch " + epoch;
            fleet.note(grant + (problem == null ? "" : "  BROKEN: " + problem));
            if (problem != null) {
                violations.add(grant + ", " + problem);
            }
        }
    }

    /**
     * Runs the case.
     *
     * @param arguments root of the repository, file of the record, and 0 for a run without the disruption
     */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[2].equals("0");
        fleet = new ReviewFleet(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]));
        Runtime.getRuntime().addShutdownHook(new Thread(SameIdRestart::closeFleet));
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= 5; number++) {
            Worker worker = new Worker("i-worker" + number);
            worker.start();
            workers.add(worker);
        }
        fleet.store.put("op/config", ReviewFleet.configuration(4, Map.of(POOL, "idempotent"), List.of(POOL)));
        workers.forEach(Worker::beat);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        for (Worker worker : workers) {
            timer.scheduleAtFixedRate(worker::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
            timer.scheduleAtFixedRate(worker::expire, 50, 50, TimeUnit.MILLISECONDS);
        }
        for (int number = 1; number <= 3; number++) {
            fleet.addDaemon("front-" + number, "zone-a");
        }
        boolean served = fleet.awaitReady(20_000) && ReviewFleet.await(20_000, () -> request(7) == 200);
        if (!served) {
            fleet.note("no request is served, the case can't run");
            System.exit(2);
        }
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger successes = new AtomicInteger();
        long end = now() + RUN_MILLIS;
        long nextCut = now() + CUT_EVERY_MILLIS;
        int turn = 0;
        while (now() < end) {
            if (trouble && now() >= nextCut) {
                nextCut += CUT_EVERY_MILLIS;
                Worker worker = workers.get(turn++ % workers.size());
                new Thread(() -> cutAndRestart(worker)).start();
            }
            requests.incrementAndGet();
            if (request(ThreadLocalRandom.current().nextInt(KEYS)) == 200) {
                successes.incrementAndGet();
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        fleet.note("requests " + requests + ", answered 200 " + successes + ", grants taken " + grantsTaken
                + ", cuts with a restart " + turn + ", grants that break the rule " + violations.size());
        System.out.println("cuts with a restart " + turn + ", grants " + grantsTaken + ", broken " + violations.size());
        violations.stream().limit(3).forEach(System.out::println);
        boolean daemonsAlive = fleet.daemons.stream().allMatch(daemon -> daemon.process.isAlive());
        System.exit(grantsTaken.get() == 0 || !daemonsAlive ? 2 : violations.isEmpty() ? 0 : 1);
    }

    /** Cuts a worker off from the store; behind the cut it crashes and starts again under its id and address. */
    private static void cutAndRestart(Worker worker) {
        try {
            fleet.note(worker.id + " is cut off from the store");
            worker.cutFromStore = true;
            TimeUnit.MILLISECONDS.sleep(CRASH_AFTER_MILLIS);
            worker.crash();
            TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
            worker.start();
            TimeUnit.MILLISECONDS.sleep(CUT_MILLIS - CRASH_AFTER_MILLIS - DOWN_MILLIS);
            worker.cutFromStore = false;
            fleet.note(worker.id + " reaches the store again");
            worker.beat();
        } catch (IOException e) {
            fleet.note("restart failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int request(int key) {
        ReviewFleet.Daemon daemon = fleet.daemons.get(ThreadLocalRandom.current().nextInt(fleet.daemons.size()));
        return ReviewFleet.request(
                daemon,
                "GET",
                "/" + POOL + "/x",
                Map.of(
                        "Snipewind-Request-Id", Long.toHexString(ThreadLocalRandom.current().nextLong()),
                        "Snipewind-Deadline-Ms", "1000",
                        "Snipewind-Shard-Key", Integer.toString(key)),
                3_000);
    }

    private static void closeFleet() {
        try {
            fleet.close();
        } catch (IOException e) {
            System.err.println(e);
        }
    }
}
