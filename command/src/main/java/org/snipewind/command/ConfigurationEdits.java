package org.snipewind.command;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.OrganisationSettings;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;

/** Creates the changes of one field that have a subcommand of their own. */
final class ConfigurationEdits {

    private ConfigurationEdits() {}

    static ConfigurationEdit setInService(String dataCentre, boolean inService) {
        return new ConfigurationEdit(
                (inService ? "in " : "out ") + dataCentre,
                "dataCentres." + dataCentre + ".inService",
                configuration -> {
                    DataCentreSettings settings = configuration.dataCentres().get(dataCentre);
                    if (settings == null) {
                        return unknownName("data centre", dataCentre, configuration.dataCentres());
                    }
                    return Either.right(new FleetConfiguration(
                            withEntry(
                                    configuration.dataCentres(),
                                    dataCentre,
                                    new DataCentreSettings(settings.region(), inService)),
                            configuration.pools(),
                            configuration.routes(),
                            configuration.organisations()));
                });
    }

    static ConfigurationEdit setDrained(String target, String pool, boolean drained) {
        return new ConfigurationEdit(
                (drained ? "drain " : "undrain ") + target,
                "pools." + pool + ".targets." + target + ".drained",
                configuration -> {
                    PoolSettings settings = configuration.pools().get(pool);
                    if (settings == null || !settings.targets().containsKey(target)) {
                        return Either.left("pool " + pool + " has no target " + target);
                    }
                    TargetSettings previous = settings.targets().get(target);
                    PoolSettings changed = new PoolSettings(
                            settings.divided(),
                            settings.checksTokens(),
                            settings.slots(),
                            settings.longestDeadlineMillis(),
                            settings.coldStart(),
                            withEntry(
                                    settings.targets(),
                                    target,
                                    new TargetSettings(previous.address(), previous.dataCentre(), drained)));
                    return Either.right(new FleetConfiguration(
                            configuration.dataCentres(),
                            withEntry(configuration.pools(), pool, changed),
                            configuration.routes(),
                            configuration.organisations()));
                });
    }

    /** Creates an edit that adds a key by its digest, or withdraws the key if there is no digest. */
    static ConfigurationEdit setKey(String organisation, String name, Optional<String> digest) {
        return new ConfigurationEdit(
                (digest.isPresent() ? "key add " : "key withdraw ") + organisation + " " + name,
                "organisations." + organisation + ".keys." + name,
                configuration -> {
                    OrganisationSettings settings =
                            configuration.organisations().get(organisation);
                    if (settings == null) {
                        return unknownName("organisation", organisation, configuration.organisations());
                    }
                    if (!name.matches("[a-z0-9-]+")) {
                        return Either.left("'" + name + "' is not a name, expected the characters a-z, 0-9 and -");
                    }
                    if (digest.isPresent() == settings.keys().containsKey(name)) {
                        return Either.left("organisation " + organisation
                                + (digest.isPresent() ? " already has a key " : " has no key ") + name);
                    }
                    if (digest.isPresent()
                            && configuration.organisations().values().stream()
                                    .anyMatch(other -> other.keys().containsValue(digest.get()))) {
                        return Either.left("the same key is already in use; every key must be unique");
                    }
                    Map<String, String> keys = new TreeMap<>(settings.keys());
                    digest.ifPresentOrElse(value -> keys.put(name, value), () -> keys.remove(name));
                    return Either.right(new FleetConfiguration(
                            configuration.dataCentres(),
                            configuration.pools(),
                            configuration.routes(),
                            withEntry(
                                    configuration.organisations(),
                                    organisation,
                                    new OrganisationSettings(settings.budget(), settings.weight(), keys))));
                });
    }

    private static <T> Map<String, T> withEntry(Map<String, T> map, String name, T value) {
        Map<String, T> changed = new TreeMap<>(map);
        changed.put(name, value);
        return changed;
    }

    private static Either<String, FleetConfiguration> unknownName(String noun, String name, Map<String, ?> known) {
        return Either.left("unknown " + noun + " '" + name + "', expected one of " + String.join(", ", known.keySet()));
    }
}
