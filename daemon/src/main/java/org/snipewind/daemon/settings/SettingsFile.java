package org.snipewind.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/** Reads and validates a settings file. */
public final class SettingsFile {

    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}");
    private static final int MIN_SECRET_CHARACTERS = 16;

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param file path of the YAML file
     * @return the settings
     * @throws SettingsException if the file can't be read or a field is unknown, missing or invalid
     */
    public static DaemonSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), "(whole file)", "expected a file that can be read");
        }
    }

    /**
     * Parses settings.
     *
     * @param file name of the file, for error messages
     * @param yaml the YAML text
     * @return the settings
     * @throws SettingsException if a field is unknown, missing or invalid
     */
    public static DaemonSettings parse(String file, String yaml) {
        LoaderOptions options = new LoaderOptions();
        options.setAllowDuplicateKeys(false);
        try {
            return toDaemonSettings(new SettingsNode(file, "", new Yaml(new SafeConstructor(options)).load(yaml)));
        } catch (YAMLException e) {
            throw new SettingsException(
                    file, "(whole file)", "not valid YAML: " + e.getMessage().replace('\n', ' '));
        }
    }

    private static DaemonSettings toDaemonSettings(SettingsNode node) {
        node.requireKnownFields(
                "name",
                "region",
                "dataCentre",
                "callers",
                "operators",
                "peers",
                "secret",
                "tls",
                "store",
                "instanceList",
                "seeds",
                "limits",
                "policy",
                "shutdownGraceMillis",
                "log");
        return new DaemonSettings(
                node.text("name"),
                node.text("region"),
                node.text("dataCentre"),
                endpoint(node.requiredChild("callers")),
                endpoint(node.requiredChild("operators")),
                endpoint(node.requiredChild("peers")),
                secret(node),
                node.child("tls").map(SettingsFile::tls),
                storeAddresses(node.requiredChild("store")),
                node.optionalText("instanceList").map(address -> checkedAddress(node, "instanceList", address)),
                node.textList("seeds").stream()
                        .map(address -> checkedAddress(node, "seeds", address))
                        .toList(),
                node.child("limits").map(SettingsFile::limits).orElse(RequestLimits.DEFAULT),
                node.child("policy").map(SettingsFile::policy).orElse(PolicySettings.DEFAULT),
                node.number(
                        "shutdownGraceMillis", 0, 600_000, Optional.of(DaemonSettings.DEFAULT_SHUTDOWN_GRACE_MILLIS)),
                isTextLog(node));
    }

    private static Endpoint endpoint(SettingsNode node) {
        node.requireKnownFields("host", "port");
        return new Endpoint(node.text("host"), (int) node.number("port", 0, 65_535, Optional.empty()));
    }

    private static String secret(SettingsNode node) {
        String secret = node.text("secret");
        if (secret.length() < MIN_SECRET_CHARACTERS) {
            throw node.exception("secret", "expected a text of at least " + MIN_SECRET_CHARACTERS + " characters");
        }
        return secret;
    }

    private static TlsSettings tls(SettingsNode node) {
        node.requireKnownFields("certificate", "key", "trust");
        return new TlsSettings(
                Path.of(node.text("certificate")), Path.of(node.text("key")), Path.of(node.text("trust")));
    }

    private static List<String> storeAddresses(SettingsNode node) {
        node.requireKnownFields("addresses");
        List<String> addresses = node.textList("addresses");
        if (addresses.isEmpty()) {
            throw node.exception("addresses", "missing, expected a list of at least one address as IP:PORT");
        }
        return addresses.stream()
                .map(address -> checkedAddress(node, "addresses", address))
                .toList();
    }

    private static String checkedAddress(SettingsNode node, String field, String address) {
        if (!ADDRESS.matcher(address).matches()) {
            throw node.exception(field, "expected an address as IP:PORT, found " + address);
        }
        return address;
    }

    private static RequestLimits limits(SettingsNode node) {
        node.requireKnownFields("connections", "requests", "bytes", "bodyBytes", "queueEntries", "queueBytes");
        RequestLimits defaults = RequestLimits.DEFAULT;
        return new RequestLimits(
                (int) node.number("connections", 1, 1_000_000, Optional.of((long) defaults.connections())),
                (int) node.number("requests", 1, 1_000_000, Optional.of((long) defaults.requests())),
                node.number("bytes", 1, 1L << 40, Optional.of(defaults.bytes())),
                (int) node.number("bodyBytes", 1, 3L << 20, Optional.of((long) defaults.bodyBytes())),
                (int) node.number("queueEntries", 1, 1_000_000, Optional.of((long) defaults.queueEntries())),
                node.number("queueBytes", 1, 1L << 40, Optional.of(defaults.queueBytes())));
    }

    private static PolicySettings policy(SettingsNode node) {
        node.requireKnownFields("hedging", "loadAwareChoice", "coldStartRamp", "fairQueueing", "sharedBudget");
        return new PolicySettings(
                node.flag("hedging", true),
                node.flag("loadAwareChoice", true),
                node.flag("coldStartRamp", true),
                node.flag("fairQueueing", true),
                node.flag("sharedBudget", true));
    }

    private static boolean isTextLog(SettingsNode node) {
        Optional<SettingsNode> log = node.child("log");
        log.ifPresent(child -> child.requireKnownFields("format"));
        String format = log.flatMap(child -> child.optionalText("format")).orElse("json");
        if (!format.equals("json") && !format.equals("text")) {
            throw node.exception("log.format", "expected json or text, found " + format);
        }
        return format.equals("text");
    }
}
