import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One process after the other gets SIGTERM while consumers go on. Counts requests that a stopping process passed on to a
 * worker and closed without an answer.
 */
public final class LateRequests {

    /** Sound consumers of the zone; each sends one request after the other, on a connection that it keeps. */
    private static final int CONSUMERS = 60;

    private static final long GAP_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 6_000;
    private static final long WORK_MILLIS = 80;

    /** Requests that were sent no later than this after the SIGTERM may be excused. */
    private static final long EXCUSED_MILLIS = 3_000;

    /** A worker that began with a request, by the id of the request. */
    private final Map<String, String> begun = new ConcurrentHashMap<>();

    /** Times of SIGTERM, by process. */
    private final Map<Daemons.Daemon, Long> termAt = new ConcurrentHashMap<>();

    private final List<Daemons.Daemon> rotation = new ArrayList<>();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile Daemons daemons;
    private volatile boolean ended;

    private final class PlainWorker extends Worker {
        PlainWorker(Store store, String id) throws IOException {
            super(store, id, "order-desk", "zone-a", false);
            workMillis = WORK_MILLIS;
        }

        @Override
        void began(Run run, Message request) {
            begun.put(run.id, id);
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try {
            Record.open(Path.of(arguments[1], "record.txt"));
            status = new LateRequests().run(Path.of(arguments[0]).toAbsolutePath(), trouble);
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
        }
        System.out.println("exit " + status);
        System.exit(status);
    }

    private int run(Path root, boolean trouble) throws IOException {
        Path directory = Files.createTempDirectory("review-");
        Store store = new Store();
        Site site = new Site();
        site.service("order-desk", false);
        site.route("orders", "/orders/", "non_idempotent", "order-desk", 800, 250);
        site.tenant("north", "north-key", 2_000);
        site.apply(store);
        for (int index = 0; index < 12; index++) {
            new PlainWorker(store, "w" + index).start();
        }
        try (Daemons started = new Daemons(root, directory)) {
            daemons = started;
            for (int index = 0; index < 3; index++) {
                daemons.add("front-" + index, "zone-a", store.port());
            }
            daemons.startAll();
            daemons.awaitReady(20_000);
            rotation.addAll(daemons.all);
            Http.thread("balancer", this::balance);
            Clock.sleep(4_000);
            for (int number = 0; number < CONSUMERS; number++) {
                int consumer = number;
                Http.thread("consumer", () -> consume(consumer));
            }
            Clock.sleep(4_000);
            for (int round = 0; round < 4; round++) {
                // The platform asks once a second, so the rounds begin at different times within that second.
                Clock.sleep(round * 250L);
                for (Daemons.Daemon daemon : daemons.all) {
                    if (trouble) {
                        Http.thread("platform", () -> restart(daemon));
                    }
                    Clock.sleep(GAP_MILLIS);
                }
                Clock.sleep(11_000);
            }
            ended = true;
            Clock.sleep(2_000);
        }
        String result = answered.get() + " requests answered; " + broken.get()
                + " passed on to a worker by a stopping process and closed without an answer, though sent later than "
                + EXCUSED_MILLIS + " ms after its SIGTERM";
        Record.line(result);
        System.out.println(result);
        return broken.get() > 0 ? 1 : 0;
    }

    /** Stops and starts a process as the platform does. */
    private void restart(Daemons.Daemon daemon) {
        try {
            Process process = daemon.process;
            termAt.put(daemon, Clock.now());
            Record.line(daemon.name + " gets SIGTERM");
            Daemons.signal(process, "TERM");
            long end = Clock.now() + GRACE_MILLIS;
            while (process.isAlive() && Clock.now() < end) {
                Clock.sleep(5);
            }
            Record.line(daemon.name + (process.isAlive() ? " gets SIGKILL" : " has ended") + ", "
                    + (Clock.now() - termAt.get(daemon)) + " ms after its SIGTERM");
            process.destroyForcibly();
            Clock.sleep(500);
            daemons.start(daemon);
        } catch (IOException e) {
            Record.line("platform: " + e);
        }
    }

    /**
     * Keeps the rotation after the section on the ingress in PROTOCOL.md: one question a second, two misses take a
     * process out, one 200 takes it in; with fewer than half of the zone's processes in rotation, all are used.
     */
    private void balance() {
        Map<Daemons.Daemon, Integer> misses = new ConcurrentHashMap<>();
        while (!ended) {
            for (Daemons.Daemon daemon : daemons.all) {
                misses.merge(daemon, 1, (before, one) -> daemon.isReady() ? 0 : before + one);
            }
            synchronized (rotation) {
                rotation.clear();
                daemons.all.stream().filter(daemon -> misses.get(daemon) < 2).forEach(rotation::add);
                String ready = rotation.stream().map(daemon -> daemon.name).toList().toString();
                if (rotation.size() * 2 < daemons.all.size()) {
                    rotation.clear();
                    rotation.addAll(daemons.all);
                    Record.line("in rotation " + ready + ", fewer than half: all are used");
                }
            }
            Clock.sleep(1_000);
        }
    }

    private Daemons.Daemon pick(int consumer, int attempt) {
        synchronized (rotation) {
            return rotation.get(Math.floorMod(consumer * 31 + attempt * 17, rotation.size()));
        }
    }

    private void consume(int consumer) {
        int count = 0;
        while (!ended) {
            Daemons.Daemon daemon = pick(consumer, count);
            Process process = daemon.process;
            String id = "";
            long sentAt = 0;
            try (Caller caller = new Caller(daemon.front)) {
                while (!ended) {
                    id = "c" + consumer + "-" + ++count;
                    sentAt = Clock.now();
                    Http.Message answer =
                            caller.call("POST", "/orders/x", id, "north-key", -1, 1_500, new byte[1_200]);
                    if (answer == null) {
                        throw new IOException("end of connection");
                    }
                    answered.incrementAndGet();
                    if ("close".equals(answer.header("Connection"))) {
                        break;
                    }
                    Clock.sleep(60 + count % 7 * 10);
                }
            } catch (IOException e) {
                check(daemon, process, id, sentAt, e);
                Clock.sleep(50);
            }
        }
    }

    private void check(Daemons.Daemon daemon, Process process, String id, long sentAt, IOException cause) {
        String worker = begun.get(id);
        Long term = termAt.get(daemon);
        if (worker == null || term == null) {
            return;
        }
        long after = sentAt - term;
        boolean counts = after > EXCUSED_MILLIS && after < GRACE_MILLIS + 1_000;
        Record.line((counts ? "BROKEN: " : "") + "request " + id + " was sent to " + daemon.name + " " + after
                + " ms after its SIGTERM, begun by worker " + worker + ", and its connection ended without an answer "
                + (Clock.now() - term) + " ms after the SIGTERM: " + cause.getMessage());
        if (counts) {
            broken.incrementAndGet();
        }
    }
}
