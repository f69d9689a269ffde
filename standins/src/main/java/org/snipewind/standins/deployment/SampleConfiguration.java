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

/** The configurations of the folder samples, and changes of them. */
public final class SampleConfiguration {

    private static final List<String> FILES =
            List.of("10-data-centres.yaml", "20-pools.yaml", "30-routes.yaml", "40-organisations.yaml");
    private static final String KEY_PREFIX = "sample-key-";

    private SampleConfiguration() {}

    /**
     * Reads a sample.
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
                delete(folder);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("sample " + name + " can't be read", e);
        }
    }

    /**
     * Gives the key that callers of an organisation of a sample send.
     *
     * @param organisation name of the organisation
     * @return the secret key
     */
    public static String apiKeyOf(String organisation) {
        return KEY_PREFIX + organisation;
    }

    /**
     * Keeps a share of the targets of each pool.
     *
     * @param configuration the configuration
     * @param factor share of the targets; at least one of each pool stays
     * @return the smaller configuration
     */
    public static FleetConfiguration withTargetRatio(FleetConfiguration configuration, double factor) {
        return withPools(configuration, pool -> {
            Map<String, TargetSettings> kept = new LinkedHashMap<>();
            pool.targets().keySet().stream()
                    .sorted(Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder()))
                    .limit(Math.max(1, Math.round(pool.targets().size() * factor)))
                    .forEach(name -> kept.put(name, pool.targets().get(name)));
            return withTargets(pool, kept);
        });
    }

    /**
     * Multiplies the rates and bursts of all organisations.
     *
     * @param configuration the configuration
     * @param factor factor of each rate and burst
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
     * Replaces the pools.
     *
     * @param configuration the configuration
     * @param change change of each pool
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

    static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
