package org.snipewind.daemon.supervisor;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.RouteSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.clients.status.TargetStatus;
import org.snipewind.clients.target.TargetClient;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.daemon.entry.OrganisationDirectory;
import org.snipewind.daemon.fleet.RoleRights;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordNames;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.LoadAnswer;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.TargetReport;
import org.snipewind.router.metrics.ProcessMetrics;

/** Holds the supervisors of the targets whose supervisor role this daemon holds. */
public final class SupervisorRegistry implements AutoCloseable {

    private final DaemonSettings daemon;
    private final MillisClock clock;
    private final RecordCache records;
    private final RoleRights rights;
    private final OrganisationDirectory organisations;
    private final Predicate<String> leavingInstances;
    private final Function<TargetSettings, TargetClient> targetClients;
    private final Function<TargetReport, CompletableFuture<PeerMessage>> reporter;
    private final ProcessMetrics metrics;
    private final EventLog log;
    private final Map<String, TargetSupervisor> supervisors = new ConcurrentHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param daemon settings of the daemon
     * @param clock the clock
     * @param records records of this daemon
     * @param rights rights of this daemon
     * @param organisations organisations by key
     * @param leavingInstances tells by name which targets run on instances that the platform lists as leaving
     * @param targetClients creates the client of a target
     * @param reporter sends reports to pool coordinators
     * @param metrics metrics of this daemon
     * @param log the event log
     */
    public SupervisorRegistry(
            DaemonSettings daemon,
            MillisClock clock,
            RecordCache records,
            RoleRights rights,
            OrganisationDirectory organisations,
            Predicate<String> leavingInstances,
            Function<TargetSettings, TargetClient> targetClients,
            Function<TargetReport, CompletableFuture<PeerMessage>> reporter,
            ProcessMetrics metrics,
            EventLog log) {
        this.daemon = daemon;
        this.clock = clock;
        this.records = records;
        this.rights = rights;
        this.organisations = organisations;
        this.leavingInstances = leavingInstances;
        this.targetClients = targetClients;
        this.reporter = reporter;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Updates the supervisors after a record has changed.
     *
     * @param name store key of the changed record
     */
    public synchronized void recordChanged(String name) {
        Optional<ConfigurationRevision> revision = records.configuration();
        if (revision.isEmpty()) {
            return;
        }
        FleetConfiguration configuration = revision.get().configuration();
        configuration
                .pools()
                .forEach((poolName, pool) -> pool.targets()
                        .forEach((target, settings) -> updateSupervisor(target, settings, poolName, pool)));
        for (String target : List.copyOf(supervisors.keySet())) {
            if (rights.recordedToken(RoleNames.target(target)).isEmpty()) {
                closeSupervisor(target);
            }
        }
        if (RecordNames.isTable(name) || name.equals(RecordNames.FLEET)) {
            supervisors.values().forEach(TargetSupervisor::recordChanged);
        } else {
            supervisors.forEach((target, supervisor) ->
                    configuration.poolOf(target).map(configuration.pools()::get).ifPresent(supervisor::configure));
        }
    }

    /** Runs one round of all supervisors. */
    public void run() {
        supervisors.values().forEach(TargetSupervisor::run);
    }

    /**
     * Submits a request to a target that this daemon supervises.
     *
     * @param request the request
     * @return the target's whole response or a refusal; the future never fails
     */
    public CompletableFuture<Either<Refusal, TargetResponse>> submit(ForwardRequest request) {
        CompletableFuture<Either<Refusal, TargetResponse>> result = new CompletableFuture<>();
        TargetSupervisor supervisor = supervisors.get(request.target());
        if (supervisor == null) {
            result.complete(Either.left(
                    Refusal.of(ErrorKind.NOT_SUPERVISOR, "this daemon does not supervise " + request.target())));
            return result;
        }
        boolean urgent = records.configuration()
                .map(current -> current.configuration().routes().get(request.route()))
                .map(RouteSettings::urgent)
                .orElse(false);
        long deadlineMillis = clock.nowMillis() + request.remainingMillis();
        supervisor.submit(new SubmittedRequest(request, deadlineMillis, urgent, result));
        return result;
    }

    /**
     * Cancels a request at whichever of the targets it is.
     *
     * @param requestId id of the request
     */
    public void cancel(String requestId) {
        supervisors.values().forEach(supervisor -> supervisor.cancel(requestId));
    }

    /**
     * Returns the load of a target that this daemon supervises.
     *
     * @param target name of the target
     * @return its load, or empty if this daemon does not supervise it
     */
    public Optional<LoadAnswer> load(String target) {
        return Optional.ofNullable(supervisors.get(target)).map(TargetSupervisor::load);
    }

    /**
     * Returns whether the supervisor role of a target can be handed over.
     *
     * @param target name of the target
     * @return true if this daemon does not supervise the target, or nothing is in flight and the target holds no
     *     grant
     */
    public boolean isIdle(String target) {
        TargetSupervisor supervisor = supervisors.get(target);
        return supervisor == null || supervisor.isIdle();
    }

    /**
     * Refuses the requests that wait for a target whose supervisor role is being handed over.
     *
     * @param target name of the target
     */
    public void stopAdmitting(String target) {
        Optional.ofNullable(supervisors.get(target)).ifPresent(TargetSupervisor::stopAdmitting);
    }

    /**
     * Returns the status of the supervised targets.
     *
     * @return status of each target
     */
    public List<TargetStatus> statuses() {
        return supervisors.values().stream().map(TargetSupervisor::status).toList();
    }

    @Override
    public synchronized void close() {
        List.copyOf(supervisors.keySet()).forEach(this::closeSupervisor);
    }

    private void updateSupervisor(String target, TargetSettings settings, String poolName, PoolSettings pool) {
        Optional<Long> token = rights.assignedToken(RoleNames.target(target));
        TargetSupervisor known = supervisors.get(target);
        if (known != null && token.isPresent() && known.assignedToken() != token.get()) {
            // Another daemon held the role in between and may have issued a grant that this supervisor does not know.
            closeSupervisor(target);
        }
        token.ifPresent(assignedToken ->
                supervisors.computeIfAbsent(target, name -> create(name, assignedToken, settings, poolName, pool)));
    }

    private TargetSupervisor create(
            String target, long token, TargetSettings settings, String poolName, PoolSettings pool) {
        return new TargetSupervisor(
                target,
                poolName,
                token,
                pool,
                daemon,
                clock,
                records,
                rights,
                organisations,
                () -> leavingInstances.test(target),
                targetClients.apply(settings),
                reporter,
                metrics,
                log);
    }

    private void closeSupervisor(String target) {
        TargetSupervisor supervisor = supervisors.remove(target);
        if (supervisor != null) {
            supervisor.close();
        }
    }
}
