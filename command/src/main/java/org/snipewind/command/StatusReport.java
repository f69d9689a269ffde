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

/** Formats the state of the fleet as lines of at most 80 columns, problems first. */
final class StatusReport {

    private static final int MAX_LINE_LENGTH = 80;
    /**
     * A daemon whose last contact with the store is older refuses keyed requests if it also has no contact with a
     * majority of its lease group.
     */
    private static final long MAX_STORE_CONTACT_AGE_MILLIS = 10_000;
    /** At most 0.1% of the requests of a well-behaved organisation are refused, so 1% stands out. */
    private static final double REFUSED_FRACTION_LIMIT = 0.01;

    private final FleetConfiguration configuration;
    private final ConfigurationRevision revision;
    private final FleetRecord fleet;
    private final Map<String, Either<String, DaemonStatus>> statuses;
    private final Map<String, TargetStatus> targets = new TreeMap<>();
    private final Map<String, OrganisationStatus> organisations = new TreeMap<>();

    StatusReport(
            ConfigurationRevision revision, FleetRecord fleet, Map<String, Either<String, DaemonStatus>> statuses) {
        this.revision = revision;
        this.configuration = revision.configuration();
        this.fleet = fleet;
        this.statuses = statuses;
        statuses.values().forEach(result -> result.forEach(this::addStatus));
    }

    private void addStatus(DaemonStatus status) {
        for (TargetStatus target : status.targets()) {
            // If two daemons report a target, the one with the higher fencing token is its newer supervisor.
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

    /**
     * Lists what needs the attention of an operator, with the reason. Drained targets and data centres out of service
     * are intended, so they are not listed.
     */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        fleet.members()
                .keySet()
                .forEach(id -> findDaemonProblem(id).ifPresent(reason -> problems.add("daemon " + id + ": " + reason)));
        configuration
                .dataCentres()
                .keySet()
                .forEach(name -> findDataCentreProblem(name)
                        .ifPresent(reason -> problems.add("data centre " + name + ": " + reason)));
        configuration
                .pools()
                .forEach((pool, settings) -> settings.targets()
                        .forEach((name, target) -> findTargetProblem(settings, name, target)
                                .ifPresent(reason -> problems.add("target " + name + " (" + pool + "): " + reason))));
        organisations.values().forEach(organisation -> {
            long total = organisation.admitted() + organisation.refused();
            if (total > 0 && organisation.refused() >= REFUSED_FRACTION_LIMIT * total) {
                problems.add("organisation " + organisation.name() + ": " + organisation.refused() + " of " + total
                        + " requests refused");
            }
        });
        return problems.stream().map(StatusReport::truncate).toList();
    }

    /** Formats the complete report. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(truncate("revision " + revision.revision() + " by " + revision.author() + " at "
                + java.time.Instant.ofEpochMilli(revision.acceptedAtEpochMillis()) + ": " + revision.note()));
        List<String> problems = problems();
        lines.add(problems.isEmpty() ? "no trouble" : "TROUBLE");
        problems.forEach(problem -> lines.add(truncate("  " + problem)));
        configuration.dataCentres().forEach((name, settings) -> {
            if (!settings.inService()) {
                lines.add(truncate("data centre " + name + " is out of service"));
            }
        });
        lines.add(formatRow("DAEMON", "DATA CENTRE", "REVISION", "SINCE", "IN FLIGHT"));
        statuses.forEach((id, result) -> lines.add(result.fold(
                reason -> formatRow(id, fleet.members().get(id).dataCentre(), "-", "-", "-"),
                status -> formatRow(
                        id,
                        status.dataCentre(),
                        String.valueOf(status.configurationRevision()),
                        formatAge(status.configurationAgeMillis()),
                        String.valueOf(status.inFlight())))));
        lines.add(formatRow("TARGET", "CONDITION", "RUNNING", "QUEUED", "LATENCY"));
        configuration
                .pools()
                .values()
                .forEach(
                        pool -> pool.targets().forEach((name, settings) -> lines.add(formatTargetRow(name, settings))));
        lines.add(formatRow("ORGANISATION", "", "ADMITTED", "REFUSED", ""));
        organisations
                .values()
                .forEach(organisation -> lines.add(formatRow(
                        organisation.name(),
                        "",
                        String.valueOf(organisation.admitted()),
                        String.valueOf(organisation.refused()),
                        "")));
        return lines;
    }

    private String formatTargetRow(String name, TargetSettings settings) {
        TargetStatus status = targets.get(name);
        String condition = settings.drained() ? "drained" : status == null ? "unknown" : status.condition();
        return status == null
                ? formatRow(name, condition, "-", "-", "-")
                : formatRow(
                        name,
                        condition,
                        status.inFlight() + "/" + status.limit(),
                        String.valueOf(status.queued()),
                        status.latencyMicros() / 1000 + " ms");
    }

    private Optional<String> findDaemonProblem(String id) {
        Either<String, DaemonStatus> result = statuses.getOrDefault(id, Either.left("not asked"));
        if (result.isLeft()) {
            return Optional.of("does not answer (" + result.getLeft() + ")");
        }
        DaemonStatus status = result.get();
        List<String> reasons = new ArrayList<>();
        if (!status.ready()) {
            reasons.add("not ready");
        }
        if (!status.leaseValid()) {
            reasons.add("its lease is not valid");
        }
        if (status.storeContactAgeMillis() > MAX_STORE_CONTACT_AGE_MILLIS) {
            reasons.add("no contact with the store for " + formatAge(status.storeContactAgeMillis()));
        }
        if (status.configurationRevision() < revision.revision()) {
            reasons.add("has revision " + status.configurationRevision());
        }
        return reasons.isEmpty() ? Optional.empty() : Optional.of(String.join(", ", reasons));
    }

    private Optional<String> findDataCentreProblem(String name) {
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

    private Optional<String> findTargetProblem(PoolSettings pool, String name, TargetSettings settings) {
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

    private static String formatRow(String name, String second, String third, String fourth, String fifth) {
        return String.format("%-34.34s %-14.14s %9.9s %9.9s %9.9s", name, second, third, fourth, fifth)
                .stripTrailing();
    }

    private static String formatAge(long millis) {
        long seconds = millis / 1000;
        if (seconds < 120) {
            return seconds + " s";
        }
        return seconds < 7200 ? seconds / 60 + " min" : seconds / 3600 + " h";
    }

    private static String truncate(String line) {
        return line.length() <= MAX_LINE_LENGTH ? line : line.substring(0, MAX_LINE_LENGTH - 3) + "...";
    }
}
