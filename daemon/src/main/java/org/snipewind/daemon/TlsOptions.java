package org.snipewind.daemon;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import javax.net.ssl.SSLException;
import org.snipewind.daemon.settings.SettingsException;
import org.snipewind.daemon.settings.TlsSettings;
import org.snipewind.protocol.PeerSettings;

/** Reads the files for mutual TLS between daemons. */
final class TlsOptions {

    private TlsOptions() {}

    /** Reads the files named by the settings, and returns a function that adds TLS to the settings of connections. */
    static UnaryOperator<PeerSettings> read(String settingsFile, TlsSettings tls) {
        requireFile(settingsFile, "tls.certificate", tls.certificate());
        requireFile(settingsFile, "tls.key", tls.key());
        requireFile(settingsFile, "tls.trust", tls.trust());
        try {
            SslContext server = SslContextBuilder.forServer(
                            tls.certificate().toFile(), tls.key().toFile())
                    .trustManager(tls.trust().toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
            SslContext client = SslContextBuilder.forClient()
                    .keyManager(tls.certificate().toFile(), tls.key().toFile())
                    .trustManager(tls.trust().toFile())
                    .build();
            return options -> options.withTls(server, client);
        } catch (SSLException | IllegalArgumentException e) {
            String reason = String.valueOf(e.getMessage()).replace('\n', ' ');
            throw new SettingsException(settingsFile, "tls", "expected PEM files that can be used, found: " + reason);
        }
    }

    private static void requireFile(String settingsFile, String field, Path file) {
        if (!Files.isReadable(file) || !Files.isRegularFile(file)) {
            throw new SettingsException(settingsFile, field, "expected a PEM file that can be read, found " + file);
        }
    }
}
