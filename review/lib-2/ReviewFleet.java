package org.snipewind.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A small deployment for the scripts of the review: daemons in processes of their own, started with the command of the
 * deploy file and settings made from its template, and the project's stand-in of the store. Everything is on loopback.
 */
final class ReviewFleet implements AutoCloseable {

    private static final int LOWEST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;

    private static final Set<Integer> givenPorts = new HashSet<>();

    /** One daemon. */
    static final class Daemon {
        final String name;
        final int callers;
        final int readiness;
        final int internal;
        final Path settings;
        final Path log;
        Process process;

        Daemon(String name, int callers, int internal, Path directory) {
            this.name = name;
            this.callers = callers;
            this.readiness = callers + 1;
            this.internal = internal;
            this.settings = directory.resolve(name + ".yaml");
            this.log = directory.resolve(name + ".log");
        }
    }

    final StoreStandIn store;
    final List<Daemon> daemons = new ArrayList<>();
    final Path directory;
    private final Path root;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();

    ReviewFleet(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.store = new StoreStandIn();
        this.directory = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    }

    /** Writes a line with the time since the start. */
    void note(String text) {
        synchronized (record) {
            record.printf("%8.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
        }
    }

    Daemon addDaemon(String name, String dataCentre) throws IOException {
        Daemon daemon = new Daemon(name, freePortPair(), freePortPair(), directory);
        String text = Files.readString(root.resolve("platform/settings.yaml"));
        Map<String, String> fields = Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", dataCentre),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("listen.front", "127.0.0.1:" + daemon.callers),
                Map.entry("listen.ready", "127.0.0.1:" + daemon.readiness),
                Map.entry("internal_ports", daemon.internal + "," + (daemon.internal + 1)),
                Map.entry("platform_api.address", "127.0.0.1:" + store.address().getPort()),
                Map.entry("limits.cpu_share", "0.6"),
                Map.entry("limits.cpu_cores", "1"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("bounds.grace", "6s"),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.budget_window", "10s"),
                Map.entry("bounds.retry_budget_slack", "58"),
                Map.entry("bounds.cold_over", "1.5"),
                Map.entry("bounds.cold_slack", "5"));
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        Files.writeString(daemon.settings, text);
        daemons.add(daemon);
        start(daemon);
        return daemon;
    }

    void start(Daemon daemon) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SNIPEWIND_SETTINGS", daemon.settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        daemon.process = builder.start();
        note("daemon " + daemon.name + " is started, pid " + daemon.process.pid());
    }

    static void signal(Daemon daemon, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(daemon.process.pid())).start().waitFor();
    }

    static boolean isReady(Daemon daemon) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + daemon.readiness + "/readiness").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits for a condition; returns whether it came in time. */
    static boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < deadline) {
            if (condition.getAsBoolean()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return condition.getAsBoolean();
    }

    boolean awaitReady(long millis) throws InterruptedException {
        return await(millis, () -> daemons.stream().allMatch(ReviewFleet::isReady));
    }

    /** A configuration with one route for each pool: the path prefix is {@code /POOL/}. */
    static String configuration(long version, Map<String, String> kinds, List<String> sharded) {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        kinds.forEach((pool, kind) -> {
            routes.append(routes.length() == 0 ? "" : ",")
                    .append("\"r-" + pool + "\":{\"host\":\"h.example\",\"path_prefix\":\"/" + pool
                            + "/\",\"route_kind\":\"" + kind
                            + "\",\"timeout\":\"1500ms\",\"target_latency\":\"250ms\",\"priority\":1,\"service\":\""
                            + pool + "\",\"max_attempts\":2}");
            services.append(services.length() == 0 ? "" : ",")
                    .append("\"" + pool + "\":{\"health_path\":\"/health\",\"max_connections\":110,\"sharded\":"
                            + sharded.contains(pool) + "}");
        });
        return "{\"version\":\"r" + version + "\",\"routes\":{" + routes + "},\"services\":{" + services
                + "},\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":1000000,\"header_timeout\":\"3s\","
                + "\"idle_timeout\":\"15s\"}}";
    }

    static String registration(String pool, int port, String zone, String state, long sequence, long born) {
        return "{\"service\":\"" + pool + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"concurrency\":2,\"state\":\"" + state
                + "\",\"warmup_left\":\"0ms\",\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /**
     * Sends a request on a connection of its own and reads the status line.
     *
     * @return the status, 0 if there is no answer
     */
    static int request(Daemon daemon, String method, String path, Map<String, String> headers, int timeoutMillis) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n");
        headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        text.append("Connection: close\r\n\r\n");
        try (Socket socket = new Socket("127.0.0.1", daemon.callers)) {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String statusLine = reader.readLine();
            return statusLine == null ? 0 : Integer.parseInt(statusLine.split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the lower of two consecutive free ports that no other call has returned. */
    static synchronized int freePortPair() {
        while (true) {
            int port = LOWEST_PORT + 2 * ThreadLocalRandom.current().nextInt(PORT_COUNT / 2);
            if (!givenPorts.add(port)) {
                continue;
            }
            try (ServerSocket first = new ServerSocket()) {
                first.bind(new InetSocketAddress("127.0.0.1", port));
                try (ServerSocket second = new ServerSocket()) {
                    second.bind(new InetSocketAddress("127.0.0.1", port + 1));
                    return port;
                }
            } catch (IOException e) {
                continue;
            }
        }
    }

    /** Ends the daemons and the store, and removes the settings and logs. */
    @Override
    public void close() throws IOException {
        for (Daemon daemon : daemons) {
            daemon.process.destroyForcibly();
        }
        for (Daemon daemon : daemons) {
            try {
                daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
