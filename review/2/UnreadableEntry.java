import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer puts an entry that can't be read under servers/. Then the operator withdraws a key. Counts the requests
 * that workers run with it after the deadline of the new version.
 */
public final class UnreadableEntry {

    private static final long CONFIG_DEADLINE_MILLIS = 2_000;
    private static final long LATER_MILLIS = 15_000;
    private static final long CONTACT_MILLIS = 3_000;

    private final Map<String, String> begun = new ConcurrentHashMap<>();

    private final class PlainWorker extends Worker {
        PlainWorker(Store store, String id) throws IOException {
            super(store, id, "order-desk", "zone-a", false);
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
            status = new UnreadableEntry().run(Path.of(arguments[0]).toAbsolutePath(), trouble);
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
        site.tenant("north", "north-key", 200);
        site.tenant("south", "south-key", 200);
        site.apply(store);
        for (int index = 0; index < 4; index++) {
            new PlainWorker(store, "w" + index).start();
        }
        int stale;
        int[] before;
        int later;
        try (Daemons daemons = new Daemons(root, directory)) {
            for (int index = 0; index < 3; index++) {
                daemons.add("front-" + index, "zone-a", store.port());
            }
            daemons.startAll();
            daemons.awaitReady(20_000);
            Clock.sleep(4_000);
            before = send(daemons, "before", "north-key");

            if (trouble) {
                // No JSON document: an opening bracket, 2,000 times.
                store.put("servers/i-other", "[".repeat(2_000));
                Record.line("another writer has put an entry that can't be read at servers/i-other");
            }
            Clock.sleep(CONTACT_MILLIS);
            site.tenants.remove("north");
            site.tenant("north", "north-key-2", 200);
            site.apply(store);
            Record.line("the key north-key is withdrawn");
            Clock.sleep(CONFIG_DEADLINE_MILLIS + 1_000);
            stale = send(daemons, "withdrawn", "north-key")[1];
            Clock.sleep(LATER_MILLIS);
            later = send(daemons, "later", "north-key")[1];
        }
        String result = "before: " + before[0] + " of " + before[2] + " served; run with the withdrawn key after the"
                + " deadline: " + stale + " of " + before[2] + ", " + LATER_MILLIS + " ms later: " + later + " of "
                + before[2];
        Record.line(result);
        System.out.println(result);
        return stale > 0 ? 1 : 0;
    }

    /** Sends requests to each process; returns how many were served, how many ran, and how many were sent. */
    private int[] send(Daemons daemons, String phase, String key) {
        int[] counts = new int[3];
        for (Daemons.Daemon daemon : daemons.all) {
            for (int number = 0; number < 10; number++) {
                String id = phase + "-" + ++counts[2];
                int status = 0;
                try (Caller caller = new Caller(daemon.front)) {
                    Http.Message answer = caller.call("POST", "/orders/x", id, key, -1, 1_500, new byte[100]);
                    status = answer == null ? 0 : answer.status();
                } catch (IOException e) {
                    Record.line("request " + id + ": " + e);
                }
                Record.line("request " + id + " with key " + key + " to " + daemon.name + " is answered " + status
                        + (begun.containsKey(id) ? ", run by worker " + begun.get(id) : ", not run"));
                counts[0] += status == 200 ? 1 : 0;
                counts[1] += begun.containsKey(id) ? 1 : 0;
            }
        }
        return counts;
    }
}
