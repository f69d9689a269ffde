package org.snipewind.standins.deployment;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.snipewind.clients.configuration.BudgetSettings;
import org.snipewind.clients.configuration.ConfigurationFolder;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.OrganisationSettings;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;

/** Reads the configurations of the folder samples and derives variants from configurations. */
public final class SampleConfiguration {

    private static final List<String> FILES =
            List.of("10-data-centres.yaml", "20-pools.yaml", "30-routes.yaml", "40-organisations.yaml");
    private static final String API_KEY_PREFIX = "sample-key-";

    private SampleConfiguration() {}

    /**
     * Reads a sample configuration.
     *
     * @param name name of its folder
     * @return the configuration
     */
    public static FleetConfiguration read(String name) {
        try {
            Path folder = Files.createTempDirectory("snipewind-sample");
            try {
                for (String file : FILES) {
                    String resource = "/samples/" + name + "/" + file;
                    try (InputStream content = SampleConfiguration.class.getResourceAsStream(resource)) {
                        if (content == null) {
                            throw new FileNotFoundException(resource);
                        }
                        Files.copy(content, folder.resolve(file));
                    }
                }
                return ConfigurationFolder.read(folder)
                        .getOrElseThrow(problems -> new IllegalStateException("sample " + name + ": " + problems));
            } finally {
                deleteFolder(folder);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the sample " + name + " can't be read", e);
        }
    }

    /**
     * Returns the API key that callers of a sample organisation send.
     *
     * @param organisation name of the organisation
     * @return the API key
     */
    public static String apiKeyOf(String organisation) {
        return API_KEY_PREFIX + organisation;
    }

    /**
     * Keeps only a fraction of the targets of each pool.
     *
     * @param configuration the configuration
     * @param ratio fraction of the targets to keep; at least one of each pool is kept
     * @return the smaller configuration
     */
    public static FleetConfiguration withTargetRatio(FleetConfiguration configuration, double ratio) {
        return withPools(configuration, pool -> {
            Map<String, TargetSettings> kept = new LinkedHashMap<>();
            pool.targets().keySet().stream()
                    .sorted(Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder()))
                    .limit(Math.max(1, Math.round(pool.targets().size() * ratio)))
                    .forEach(name -> kept.put(name, pool.targets().get(name)));
            return withTargets(pool, kept);
        });
    }

    /**
     * Multiplies the rates and bursts of all organisations.
     *
     * @param configuration the configuration
     * @param factor factor for each rate and burst
     * @return the changed configuration
     */
    public static FleetConfiguration withScaledRates(FleetConfiguration configuration, double factor) {
        Map<String, OrganisationSettings> organisations = new TreeMap<>();
        configuration.organisations().forEach((name, settings) -> {
            BudgetSettings budget = settings.budget();
            organisations.put(
                    name,
                    new OrganisationSettings(
                            new BudgetSettings(budget.rate() * factor, (int) Math.ceil(budget.burst() * factor)),
                            settings.weight(),
                            settings.keys()));
        });
        return new FleetConfiguration(
                configuration.dataCentres(), configuration.pools(), configuration.routes(), organisations);
    }

    /**
     * Replaces the settings of all pools.
     *
     * @param configuration the configuration
     * @param change computes the new settings of a pool from its current ones
     * @return the changed configuration
     */
    public static FleetConfiguration withPools(FleetConfiguration configuration, UnaryOperator<PoolSettings> change) {
        Map<String, PoolSettings> pools = new TreeMap<>();
        configuration.pools().forEach((name, pool) -> pools.put(name, change.apply(pool)));
        return new FleetConfiguration(
                configuration.dataCentres(), pools, configuration.routes(), configuration.organisations());
    }

    /**
     * Replaces the addresses of the targets.
     *
     * @param configuration the configuration
     * @param addresses address by target name
     * @return the changed configuration
     */
    public static FleetConfiguration withAddresses(FleetConfiguration configuration, Map<String, String> addresses) {
        return withPools(configuration, pool -> {
            Map<String, TargetSettings> targets = new TreeMap<>();
            pool.targets()
                    .forEach((name, target) -> targets.put(
                            name, new TargetSettings(addresses.get(name), target.dataCentre(), target.drained())));
            return withTargets(pool, targets);
        });
    }

    private static PoolSettings withTargets(PoolSettings pool, Map<String, TargetSettings> targets) {
        return new PoolSettings(
                pool.divided(),
                pool.checksTokens(),
                pool.slots(),
                pool.longestDeadlineMillis(),
                pool.coldStart(),
                targets);
    }

    static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
