package org.snipewind.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.status.OrganisationStatus;
import org.snipewind.clients.status.TargetStatus;
import org.snipewind.coordination.fleet.FleetRecord;

/** The state of the fleet as lines of at most 80 columns, troubles first. */
final class StatusReport {

    private static final int WIDTH = 80;
    /** A daemon without fresher contact refuses keyed requests if it also hears no majority of its lease group. */
    private static final long STORE_CONTACT_LIMIT_MILLIS = 10_000;
    /** A well-behaved organisation has at most 0.1% of refusals, so 1% stands out. */
    private static final double REFUSED_SHARE = 0.01;

    private final FleetConfiguration configuration;
    private final ConfigurationRevision revision;
    private final FleetRecord fleet;
    private final Map<String, Either<String, DaemonStatus>> answers;
    private final Map<String, TargetStatus> targets = new TreeMap<>();
    private final Map<String, OrganisationStatus> organisations = new TreeMap<>();

    StatusReport(ConfigurationRevision revision, FleetRecord fleet, Map<String, Either<String, DaemonStatus>> answers) {
        this.revision = revision;
        this.configuration = revision.configuration();
        this.fleet = fleet;
        this.answers = answers;
        answers.values().forEach(answer -> answer.forEach(this::collect));
    }

    private void collect(DaemonStatus status) {
        for (TargetStatus target : status.targets()) {
            targets.merge(target.name(), target, (one, other) -> one.token() >= other.token() ? one : other);
        }
        for (OrganisationStatus organisation : status.organisations()) {
            organisations.merge(
                    organisation.name(),
                    organisation,
                    (one, other) -> new OrganisationStatus(
                            one.name(), one.admitted() + other.admitted(), one.refused() + other.refused()));
        }
    }

    /** Lists what needs an operator, with the reason; intended drains and outs are not among them. */
    List<String> troubles() {
        List<String> troubles = new ArrayList<>();
        fleet.members()
                .keySet()
                .forEach(id -> daemonTrouble(id).ifPresent(reason -> troubles.add("daemon " + id + ": " + reason)));
        configuration
                .dataCentres()
                .keySet()
                .forEach(name -> dataCentreTrouble(name)
                        .ifPresent(reason -> troubles.add("data centre " + name + ": " + reason)));
        configuration
                .pools()
                .forEach((pool, settings) -> settings.targets()
                        .forEach((name, target) -> targetTrouble(settings, name, target)
                                .ifPresent(reason -> troubles.add("target " + name + " (" + pool + "): " + reason))));
        organisations.values().forEach(organisation -> {
            long total = organisation.admitted() + organisation.refused();
            if (total > 0 && organisation.refused() >= REFUSED_SHARE * total) {
                troubles.add("organisation " + organisation.name() + ": " + organisation.refused() + " of " + total
                        + " requests refused");
            }
        });
        return troubles.stream().map(StatusReport::fit).toList();
    }

    /** Renders the whole report. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(fit("revision " + revision.revision() + " by " + revision.author() + " at "
                + java.time.Instant.ofEpochMilli(revision.acceptedAtEpochMillis()) + ": " + revision.note()));
        List<String> troubles = troubles();
        lines.add(troubles.isEmpty() ? "no trouble" : "TROUBLE");
        troubles.forEach(trouble -> lines.add(fit("  " + trouble)));
        configuration.dataCentres().forEach((name, settings) -> {
            if (!settings.inService()) {
                lines.add(fit("data centre " + name + " is out of service"));
            }
        });
        lines.add(row("DAEMON", "DATA CENTRE", "REVISION", "SINCE", "IN FLIGHT"));
        answers.forEach((id, answer) -> lines.add(answer.fold(
                reason -> row(id, fleet.members().get(id).dataCentre(), "-", "-", "-"),
                status -> row(
                        id,
                        status.dataCentre(),
                        String.valueOf(status.configurationRevision()),
                        age(status.configurationAgeMillis()),
                        String.valueOf(status.inFlight())))));
        lines.add(row("TARGET", "CONDITION", "RUNNING", "QUEUED", "LATENCY"));
        configuration
                .pools()
                .values()
                .forEach(pool -> pool.targets().forEach((name, settings) -> lines.add(targetRow(name, settings))));
        lines.add(row("ORGANISATION", "", "ADMITTED", "REFUSED", ""));
        organisations
                .values()
                .forEach(organisation -> lines.add(row(
                        organisation.name(),
                        "",
                        String.valueOf(organisation.admitted()),
                        String.valueOf(organisation.refused()),
                        "")));
        return lines;
    }

    private String targetRow(String name, TargetSettings settings) {
        TargetStatus status = targets.get(name);
        String condition = settings.drained() ? "drained" : status == null ? "unknown" : status.condition();
        return status == null
                ? row(name, condition, "-", "-", "-")
                : row(
                        name,
                        condition,
                        status.inFlight() + "/" + status.limit(),
                        String.valueOf(status.queued()),
                        status.latencyMicros() / 1000 + " ms");
    }

    private Optional<String> daemonTrouble(String id) {
        Either<String, DaemonStatus> answer = answers.getOrDefault(id, Either.left("not asked"));
        if (answer.isLeft()) {
            return Optional.of("does not answer (" + answer.getLeft() + ")");
        }
        DaemonStatus status = answer.get();
        List<String> reasons = new ArrayList<>();
        if (!status.ready()) {
            reasons.add("not ready");
        }
        if (!status.leaseValid()) {
            reasons.add("its lease is not valid");
        }
        if (status.storeContactAgeMillis() > STORE_CONTACT_LIMIT_MILLIS) {
            reasons.add("no contact with the store for " + age(status.storeContactAgeMillis()));
        }
        if (status.configurationRevision() < revision.revision()) {
            reasons.add("has revision " + status.configurationRevision());
        }
        return reasons.isEmpty() ? Optional.empty() : Optional.of(String.join(", ", reasons));
    }

    private Optional<String> dataCentreTrouble(String name) {
        if (!configuration.dataCentres().get(name).inService()) {
            return Optional.empty();
        }
        List<String> names = configuration.pools().values().stream()
                .flatMap(pool -> pool.targets().entrySet().stream())
                .filter(entry -> entry.getValue().dataCentre().equals(name)
                        && !entry.getValue().drained())
                .map(Map.Entry::getKey)
                .toList();
        boolean anyLive = names.stream()
                .anyMatch(target -> targets.containsKey(target)
                        && targets.get(target).condition().equals("LIVE"));
        return names.isEmpty() || anyLive ? Optional.empty() : Optional.of("none of its targets is live");
    }

    private Optional<String> targetTrouble(PoolSettings pool, String name, TargetSettings settings) {
        if (!configuration.isInService(settings)) {
            return Optional.empty();
        }
        TargetStatus status = targets.get(name);
        if (status == null) {
            return Optional.of("no daemon reports it");
        }
        if (!status.condition().equals("LIVE")) {
            return Optional.of("condition " + status.condition());
        }
        return status.limit() < pool.slots()
                ? Optional.of("cold start, " + status.limit() + " of " + pool.slots() + " slots in use")
                : Optional.empty();
    }

    private static String row(String name, String second, String third, String fourth, String fifth) {
        return String.format("%-34.34s %-14.14s %9.9s %9.9s %9.9s", name, second, third, fourth, fifth)
                .stripTrailing();
    }

    private static String age(long millis) {
        long seconds = millis / 1000;
        if (seconds < 120) {
            return seconds + " s";
        }
        return seconds < 7200 ? seconds / 60 + " min" : seconds / 3600 + " h";
    }

    private static String fit(String line) {
        return line.length() <= WIDTH ? line : line.substring(0, WIDTH - 3) + "...";
    }
}
