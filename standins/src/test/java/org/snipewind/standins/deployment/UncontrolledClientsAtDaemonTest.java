package org.snipewind.standins.deployment;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewind.platform.ClientCrowd;
import org.snipewind.standins.process.ChildProcess;

/**
 * Guards against clients that keep to no limit and bring down a process of snipewindd, or keep it from serving others:
 * one form of their traffic in each test, against a process with a small heap.
 */
@Timeout(180)
final class UncontrolledClientsAtDaemonTest {

    private static final int CLIENTS = 120;
    private static final long FLOOD_MILLIS = 5_000;
    private static final Duration SERVICE_TIMEOUT = Duration.ofSeconds(30);

    /** Memory of the smallest machine that instances run on. */
    private static final long MAX_RESIDENT_KILOBYTES = 290_000;

    /** Connections of the clients, also those just closed, and a few of ordinary callers and to targets. */
    private static final long MAX_ADDED_DESCRIPTORS = 2 * CLIENTS + 60;

    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Below the limits on the size of a head and on the memory of its fields. */
    private static final int TINY_FIELDS = 1_200;

    private static final long WITHOUT_END = Long.MAX_VALUE;
    private static final String HEAD =
            " HTTP/1.1\r\nHost: h.example\r\nSnipewind-Key: " + SampleConfiguration.apiKeyOf("estudio-norte") + "\r\n";
    private static final String CHUNKED_HEAD = "POST /contratos" + HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private final Deployment deployment = Deployment.start(DeploymentPlan.quickStart()
            .withDaemonCount(1)
            .withDaemonJvmOptions(
                    List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:+ExitOnOutOfMemoryError")));

    private final DaemonHandle daemon = deployment.daemons().get(0);

    @AfterEach
    void stopDeployment() {
        deployment.close();
    }

    @Test
    void bodiesInLargeChunksThatStopShortOfTheirEndAreEndured() throws Exception {
        run(CHUNKED_HEAD, "10000\r\n" + "a".repeat(0x10000) + "\r\n", MAX_BODY_BYTES / 0x10000 - 1);
    }

    @Test
    void bodiesInChunksOfOneByteThatStopShortOfTheirEndAreEndured() throws Exception {
        run(CHUNKED_HEAD, "1\r\na\r\n".repeat(10_000), MAX_BODY_BYTES / 10_000 - 1);
    }

    @Test
    void headsOfManyTinyFieldsThatStopShortOfTheirEndAreEndured() throws Exception {
        run("GET /contratos HTTP/1.1\r\n", "a:\r\n", TINY_FIELDS);
    }

    @Test
    void trailersOfManyTinyFieldsThatStopShortOfTheirEndAreEndured() throws Exception {
        run(CHUNKED_HEAD + "1\r\na\r\n0\r\n", "a:\r\n", 10_000);
    }

    @Test
    void requestsSentAheadByClientsThatReadNothingAreEndured() throws Exception {
        run("", ("GET /none" + HEAD + "\r\n").repeat(200), WITHOUT_END);
    }

    @Test
    void wholeBodiesThatWaitForTheirTargetsAreEndured() throws Exception {
        int bytes = MAX_BODY_BYTES / 4;
        String head = "POST /contratos" + HEAD + "Service-Millis: 60000\r\nSnipewind-Deadline-Millis: 30000\r\n"
                + "Content-Length: " + bytes + "\r\n\r\n";
        run(head + "a".repeat(bytes), "", 0);
    }

    private void run(String opening, String repeated, long repetitions) throws Exception {
        awaitOrdinaryRequest("before");
        ChildProcess process = daemon.process();
        long descriptorsBefore = openDescriptors(process);
        long descriptors = 0;
        ClientCrowd.Traffic traffic = new ClientCrowd.Traffic(
                opening.getBytes(StandardCharsets.ISO_8859_1),
                repeated.getBytes(StandardCharsets.ISO_8859_1),
                repetitions);
        int port = URI.create("http://" + daemon.callerAddress()).getPort();
        try (ClientCrowd crowd = new ClientCrowd(port, CLIENTS, traffic)) {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MILLIS);
            while (System.nanoTime() < endNanos && process.isAlive()) {
                descriptors = Math.max(descriptors, openDescriptors(process));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            awaitOrdinaryRequest("beside the clients");
        }
        awaitOrdinaryRequest("after the clients");
        assertWithMessage("peak of resident memory in KB")
                .that(peakResidentKilobytes(process))
                .isAtMost(MAX_RESIDENT_KILOBYTES);
        assertWithMessage("added open descriptors")
                .that(descriptors - descriptorsBefore)
                .isAtMost(MAX_ADDED_DESCRIPTORS);
    }

    /**
     * Sends an ordinary request until it is answered, each time on a new connection. Its organisation and its pool are
     * others than those of the clients, which may use these up.
     */
    private void awaitOrdinaryRequest(String when) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon.callerAddress() + "/agenda"))
                .timeout(Duration.ofSeconds(5))
                .header("Snipewind-Key", SampleConfiguration.apiKeyOf("radio-litoral"))
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        Deployment.await("an ordinary request is answered " + when, SERVICE_TIMEOUT, () -> {
            assertWithMessage("process is alive " + when)
                    .that(daemon.process().isAlive())
                    .isTrue();
            try {
                return HttpClient.newBuilder()
                                .version(HttpClient.Version.HTTP_1_1)
                                .build()
                                .send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                // The process was late, or refused the connection; the next attempt tells.
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting for a response", e);
            }
        });
    }

    private static long peakResidentKilobytes(ChildProcess process) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .map(line -> line.replaceAll("[^0-9]", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElseThrow(() -> new IOException("the system gives no peak of the memory of the process"));
    }

    private static long openDescriptors(ChildProcess process) throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return descriptors.count();
        }
    }
}
