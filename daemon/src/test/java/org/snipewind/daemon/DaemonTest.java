package org.snipewind.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snipewind.daemon.settings.SettingsException;
import org.snipewind.daemon.settings.TlsSettings;
import org.snipewind.protocol.LoadProbe;
import org.snipewind.protocol.NettyPeerConnections;
import org.snipewind.protocol.PeerServer;
import org.snipewind.protocol.PeerSettings;
import org.snipewind.protocol.RecordFetch;

class DaemonTest {

    @TempDir
    private Path folder;

    // Guards against a stack trace, a log line or a wrong exit code for invalid settings.
    @Test
    void wrongSettingsEndTheProgramWithOneLine() throws Exception {
        Process wrong = run(settings("colour: red"));
        assertThat(wrong.waitFor(20, SECONDS)).isTrue();
        assertThat(wrong.exitValue()).isEqualTo(2);
        List<String> lines = Files.readAllLines(folder.resolve("errors"));
        assertThat(lines).hasSize(1);
        assertThat(lines.get(0)).startsWith(folder.resolve("daemon.yaml") + ": colour: unknown field, expected one of");
    }

    // Guards against a settings check that starts the daemon, or accepts TLS files that do not exist.
    @Test
    void theCheckOptionDoesNotStartTheDaemon() throws Exception {
        Process valid = run(settings(""), "--check");
        assertThat(valid.waitFor(20, SECONDS)).isTrue();
        assertThat(valid.exitValue()).isEqualTo(0);
        assertThat(Files.readString(folder.resolve("errors"))).isEmpty();
        Process missing = run(settings("tls: {certificate: /none, key: /none, trust: /none}"), "--check");
        assertThat(missing.waitFor(20, SECONDS)).isTrue();
        assertThat(missing.exitValue()).isEqualTo(2);
        assertThat(Files.readAllLines(folder.resolve("errors")))
                .containsExactly(folder.resolve("daemon.yaml")
                        + ": tls.certificate: expected a PEM file that can be read, found /none");
    }

    // Guards against a failure exit code after a termination signal, and a log format that does not take effect.
    @Test
    void aSignalEndsTheProgramWithExitCodeZeroAndATextLog() throws Exception {
        Process daemon = run(settings("log: {format: text}"));
        try {
            DaemonFixture.await(() -> output().contains("SW-1001 daemon-started"));
            daemon.destroy();
            assertThat(daemon.waitFor(20, SECONDS)).isTrue();
            assertThat(daemon.exitValue()).isEqualTo(0);
            assertThat(output()).contains("SW-1004 shutdown-completed");
            assertThat(output()).doesNotContain("{\"timestamp\"");
        } finally {
            daemon.destroyForcibly();
        }
    }

    // Guards against TLS files that one of the two sides reads but does not use.
    @Test
    void peersCommunicateOverTlsWithTheConfiguredFiles() throws Exception {
        TlsSettings tls = new TlsSettings(
                resource("test-certificate.pem"), resource("test-key.pem"), resource("test-certificate.pem"));
        PeerSettings first = peer("daemon-1", tls);
        PeerSettings second = peer("daemon-2", tls);
        try (PeerServer firstServer = server(first);
                PeerServer secondServer = server(second);
                NettyPeerConnections fromFirst = new NettyPeerConnections(first);
                NettyPeerConnections fromSecond = new NettyPeerConnections(second)) {
            String firstAddress = "127.0.0.1:" + firstServer.start().getPort();
            String secondAddress = "127.0.0.1:" + secondServer.start().getPort();
            assertThat(fromFirst.call(secondAddress, new LoadProbe("a"), 5_000).get())
                    .isEqualTo(new RecordFetch("daemon-1"));
            assertThat(fromSecond.call(firstAddress, new LoadProbe("a"), 5_000).get())
                    .isEqualTo(new RecordFetch("daemon-2"));
        }
    }

    // Guards against a stack trace for a file that is not a PEM file.
    @Test
    void anUnusableTlsFileIsReportedInOneLine() throws Exception {
        Path empty = Files.createFile(folder.resolve("empty.pem"));
        SettingsException problem = assertThrows(
                SettingsException.class, () -> TlsOptions.read("daemon.yaml", new TlsSettings(empty, empty, empty)));
        assertThat(problem).hasMessageThat().startsWith("daemon.yaml: tls: expected PEM files that can be used");
        assertThat(problem).hasMessageThat().doesNotContain("\n");
    }

    private static PeerSettings peer(String name, TlsSettings tls) {
        return TlsOptions.read("daemon.yaml", tls)
                .apply(PeerSettings.of(
                        name, "127.0.0.1", 0, "an-example-secret-0123456789".getBytes(DaemonFixture.UTF_8)));
    }

    private static PeerServer server(PeerSettings settings) {
        return new PeerServer(
                settings, (sender, message) -> CompletableFuture.completedFuture(Optional.of(new RecordFetch(sender))));
    }

    private static Path resource(String name) throws URISyntaxException {
        return Path.of(DaemonTest.class.getResource(name).toURI());
    }

    private String output() {
        try {
            return Files.readString(folder.resolve("output"));
        } catch (IOException e) {
            return "";
        }
    }

    private static String settings(String more) throws IOException {
        return "name: daemon-1\nregion: west\ndataCentre: north\ncallers: {host: 127.0.0.1, port: "
                + DaemonFixture.freeEndpoint().port()
                + "}\noperators: {host: 127.0.0.1, port: "
                + DaemonFixture.freeEndpoint().port()
                + "}\npeers: {host: 127.0.0.1, port: "
                + DaemonFixture.freeEndpoint().port()
                + "}\nsecret: an-example-secret-0123456789\nstore: {addresses: [\"127.0.0.1:1\"]}\n"
                + "shutdownGraceMillis: 500\n" + more + "\n";
    }

    private Process run(String settings, String... options) throws IOException {
        Path file = Files.writeString(folder.resolve("daemon.yaml"), settings);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Daemon.class.getName(),
                "--settings",
                file.toString()));
        command.addAll(List.of(options));
        Process process = new ProcessBuilder(command)
                .redirectError(folder.resolve("errors").toFile())
                .redirectOutput(folder.resolve("output").toFile())
                .start();
        assertWithMessage("process").that(process).isNotNull();
        return process;
    }
}
