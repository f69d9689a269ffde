import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the system's program as the deploy file says, each process with its own settings file. */
final class Daemons implements AutoCloseable {

    static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** One process on its own ports. */
    static final class Daemon {
        final String name;
        final int front;
        final int ready;
        final Path settings;
        final Path log;
        volatile Process process;

        Daemon(String name, int front, int ready, Path settings, Path log) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.settings = settings;
            this.log = log;
        }

        boolean isReady() {
            try {
                HttpRequest question = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ready + "/readiness"))
                        .timeout(Duration.ofSeconds(1))
                        .build();
                return CLIENT.send(question, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    final List<Daemon> all = new ArrayList<>();
    private final Path root;
    private final Path directory;
    private final List<String> command;

    Daemons(Path root, Path directory) throws IOException {
        this.root = root;
        this.directory = directory;
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        command = List.of(run.group(1).split(" "));
        if (!Files.exists(root.resolve("target/snipewind-platform/snipewind.jar"))) {
            throw new IOException("the program is not built");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Adds a process that is not started yet. */
    Daemon add(String name, String zone, int storePort) throws IOException {
        int front = freePorts(1);
        int ready = freePorts(1);
        int internal = freePorts(2);
        Map<String, String> values = new HashMap<>();
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("ip", "127.0.0.1");
        values.put("listen.front", "127.0.0.1:" + front);
        values.put("listen.ready", "127.0.0.1:" + ready);
        values.put("internal_ports", internal + "," + (internal + 1));
        values.put("platform_api.address", "127.0.0.1:" + storePort);
        values.put("limits.cpu_share", "0.6");
        values.put("limits.cpu_cores", "1");
        values.put("limits.link_mbps", "1000.0");
        values.put("bounds.grace", "6s");
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.budget_window", "10s");
        values.put("bounds.retry_budget_slack", "58");
        values.put("bounds.cold_over", "1.5");
        values.put("bounds.cold_slack", "5");
        String template = Files.readString(root.resolve("platform/settings.yaml"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            template = template.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (template.contains("{{")) {
            throw new IOException("the template has a placeholder that this script doesn't know: " + template);
        }
        Path settings = directory.resolve(name + ".yaml");
        Files.writeString(settings, template);
        Daemon daemon = new Daemon(name, front, ready, settings, directory.resolve(name + ".log"));
        all.add(daemon);
        return daemon;
    }

    private static int lastPort = 21_000 + (int) (ProcessHandle.current().pid() % 300) * 30;

    /** Finds free ports below those that the system gives to clients. */
    private static synchronized int freePorts(int count) {
        while (true) {
            lastPort = lastPort > 31_900 ? 21_000 : lastPort + 2;
            boolean free = true;
            for (int port = lastPort; port < lastPort + count; port++) {
                try (ServerSocket tried = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    free &= tried.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return lastPort;
            }
        }
    }

    void start(Daemon daemon) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("SNIPEWIND_SETTINGS", daemon.settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        daemon.process = builder.start();
        Record.line("process " + daemon.name + " is started");
    }

    void startAll() throws IOException {
        for (Daemon daemon : all) {
            start(daemon);
        }
    }

    /** Waits until all processes are ready. */
    void awaitReady(long millis) throws IOException {
        long end = Clock.now() + millis;
        for (Daemon daemon : all) {
            while (!daemon.isReady()) {
                if (Clock.now() > end) {
                    throw new IOException(daemon.name + " does not become ready");
                }
                Clock.sleep(50);
            }
        }
        Record.line("all processes are ready");
    }

    static void signal(Process process, String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        for (Daemon daemon : all) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
            }
        }
        for (Daemon daemon : all) {
            try {
                if (daemon.process != null) {
                    daemon.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
        deleteDirectory();
    }

    /** Deletes the settings and logs, unless KEEP is set. */
    private void deleteDirectory() {
        if (System.getenv("KEEP") != null) {
            return;
        }
        for (Daemon daemon : all) {
            daemon.settings.toFile().delete();
            daemon.log.toFile().delete();
        }
        directory.toFile().delete();
    }
}
