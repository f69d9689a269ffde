package org.snipewind.daemon.supervisor;

import io.vavr.control.Either;
import java.net.ConnectException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.status.TargetStatus;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.TargetClient;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.ownership.GrantTracker;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.daemon.FailureCauses;
import org.snipewind.daemon.entry.OrganisationDirectory;
import org.snipewind.daemon.fleet.FleetTimes;
import org.snipewind.daemon.fleet.RoleRights;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.protocol.ForwardRequest;
import org.snipewind.protocol.LoadAnswer;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.TargetCondition;
import org.snipewind.protocol.TargetReport;
import org.snipewind.protocol.TargetReportAnswer;
import org.snipewind.router.metrics.ProcessMetrics;

/** Supervises one target: renews its grant, determines its condition and admits its requests. */
final class TargetSupervisor implements AutoCloseable {

    // Two renewal intervals, since a single acknowledgement may be lost or late without a fault of the target.
    private static final long SUSPECT_AFTER_MILLIS = 2 * FleetTimes.GRANT_RENEWAL_INTERVAL_MILLIS;
    private static final long GRANT_RETRY_INTERVAL_MILLIS = 100;
    private static final long RELEASE_INTERVAL_MILLIS = 40;

    private final String target;
    private final String pool;
    private final String role;
    private final MillisClock clock;
    private final RecordCache records;
    private final RoleRights rights;
    private final OrganisationDirectory organisations;
    private final BooleanSupplier targetLeaving;
    private final TargetClient targetClient;
    private final GrantTracker grantTracker;
    private final TargetAdmission admission;
    private final Function<TargetReport, CompletableFuture<PeerMessage>> reporter;
    private final ProcessMetrics metrics;
    private final EventLog log;
    private final long createdMillis;
    private final long assignedToken;
    private volatile PoolSettings settings;
    private volatile TargetCondition condition = TargetCondition.SUSPECTED;
    private volatile GrantedSlices grantedSlices = new GrantedSlices(0, 0, Set.of());
    private volatile long releasedVersion;
    private volatile long lastAcknowledgementMillis;
    private volatile long lastGrantRequestMillis;
    private volatile long requestedVersion = -1;
    private volatile long lastReportMillis;
    private volatile boolean draining;
    private volatile boolean grantReleased;
    private volatile CoordinatorConfirmation confirmation = new CoordinatorConfirmation(0, false, 0);

    /**
     * Confirmation of the pool coordinator that slices may be granted from tables of a version and later ones. A new
     * supervisor, and one whose target was lost, must not grant slices from its copy of the table until the coordinator
     * has accepted a newer report, because other targets may own the slices by then.
     */
    private record CoordinatorConfirmation(int losses, boolean received, long tableVersion) {}

    private record GrantedSlices(long token, long tableVersion, Set<Integer> slices) {}

    TargetSupervisor(
            String target,
            String pool,
            long assignedToken,
            PoolSettings settings,
            DaemonSettings daemon,
            MillisClock clock,
            RecordCache records,
            RoleRights rights,
            OrganisationDirectory organisations,
            BooleanSupplier leaving,
            TargetClient targetClient,
            Function<TargetReport, CompletableFuture<PeerMessage>> reporter,
            ProcessMetrics metrics,
            EventLog log) {
        this.target = target;
        this.pool = pool;
        this.role = RoleNames.target(target);
        this.assignedToken = assignedToken;
        this.settings = settings;
        this.clock = clock;
        this.records = records;
        this.rights = rights;
        this.organisations = organisations;
        this.targetLeaving = leaving;
        this.targetClient = targetClient;
        this.reporter = reporter;
        this.metrics = metrics;
        this.log = log;
        this.createdMillis = clock.nowMillis();
        this.lastAcknowledgementMillis = createdMillis - SUSPECT_AFTER_MILLIS;
        this.lastGrantRequestMillis = createdMillis - FleetTimes.GRANT_LIFETIME_MILLIS;
        this.grantTracker = GrantTracker.withoutPredecessorGrant(
                clock, FleetTimes.GRANT_LIFETIME_MILLIS, FleetTimes.CLOCK_ERROR_MILLIS);
        this.admission = new TargetAdmission(
                target,
                settings,
                daemon.limits(),
                daemon.policy(),
                clock,
                targetClient,
                this::checkSend,
                this::canSend,
                organisations::weightOf,
                metrics);
    }

    long assignedToken() {
        return assignedToken;
    }

    void configure(PoolSettings changed) {
        settings = changed;
        admission.configure(changed);
        admission.refuseForbidden();
    }

    void submit(SubmittedRequest submitted) {
        ForwardRequest request = submitted.request();
        if (rights.assignedToken(role).isEmpty()) {
            submitted.refuse(Refusal.of(ErrorKind.NOT_SUPERVISOR, "another daemon supervises " + target));
        } else if (condition == TargetCondition.LOST) {
            submitted.refuse(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, target + " is lost"));
        } else if (request.slice().isPresent() && !ownsSlice(request.slice().getAsInt())) {
            submitted.refuse(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, "the slice is not owned by " + target));
        } else {
            admission.submit(submitted);
        }
    }

    void cancel(String requestId) {
        admission.cancel(requestId);
    }

    /** Runs one round: renews the grant when it is due, updates the condition and reports to the coordinator. */
    void run() {
        Optional<Long> token = rights.activeToken(role);
        if (token.isPresent()) {
            grantReleased = false;
            long intervalMillis = condition == TargetCondition.LIVE
                    ? FleetTimes.GRANT_RENEWAL_INTERVAL_MILLIS
                    : GRANT_RETRY_INTERVAL_MILLIS;
            boolean tableChanged = settings.divided() && records.table(pool).version() != requestedVersion;
            boolean notReleased = settings.divided() && releasedVersion < requestedVersion;
            long ageMillis = clock.nowMillis() - lastGrantRequestMillis;
            if (ageMillis >= intervalMillis
                    || tableChanged
                    || (notReleased && ageMillis >= GRANT_RETRY_INTERVAL_MILLIS / 2)) {
                requestGrant(token.get());
            }
            updateCondition();
            report(token.get());
        }
        rights.relinquishedToken(role).ifPresent(this::release);
        admission.refuseExpired();
        admission.sendQueued();
    }

    /** Reacts to a changed slice table or configuration without waiting for the next round. */
    void recordChanged() {
        admission.refuseForbidden();
        run();
    }

    LoadAnswer load() {
        return admission.load(canSend() && condition == TargetCondition.LIVE);
    }

    /**
     * Returns whether the role can be handed over: nothing is in flight, and the target has released its grant or the
     * grant has expired, so that the next supervisor does not have to wait.
     */
    boolean isIdle() {
        return admission.inFlightCount() == 0 && (grantReleased || grantTracker.hasExpired());
    }

    TargetStatus status() {
        LoadAnswer load = load();
        return new TargetStatus(
                target,
                pool,
                admission.isSlow() && condition == TargetCondition.LIVE ? "SLOW" : condition.name(),
                load.inFlight(),
                load.queued(),
                load.limit(),
                load.latencyMicros(),
                rights.assignedToken(role).orElse(0L));
    }

    @Override
    public void close() {
        stopAdmitting();
        admission.closeWhenIdle();
    }

    void stopAdmitting() {
        admission.refuseQueued(Refusal.of(ErrorKind.NOT_SUPERVISOR, "another daemon supervises " + target));
    }

    private boolean ownsSlice(int slice) {
        return records.table(pool)
                .slices()
                .get(slice)
                .owner()
                .filter(target::equals)
                .isPresent();
    }

    /**
     * Returns whether requests may be sent at this moment. A target that checks tokens needs a valid grant. For any
     * other target, the longest deadline must have passed since this supervisor was created, because requests of the
     * previous supervisor may run until then.
     */
    private boolean canSend() {
        Optional<Long> token = rights.activeToken(role);
        if (token.isEmpty() || condition == TargetCondition.SUSPECTED || condition == TargetCondition.LOST) {
            return false;
        }
        if (settings.checksTokens()) {
            return grantTracker.isLive() && grantedSlices.token() == token.get();
        }
        long waitMillis = settings.longestDeadlineMillis() + FleetTimes.CLOCK_ERROR_MILLIS;
        return clock.nowMillis() - createdMillis >= waitMillis;
    }

    private Either<Refusal, Long> checkSend(ForwardRequest request) {
        Optional<Long> token = rights.activeToken(role);
        if (token.isEmpty() || !canSend()) {
            return Either.left(Refusal.of(ErrorKind.LEASE_EXPIRED, "no valid lease or grant for " + target));
        }
        if (!organisations.isKeyValid(request.organisation(), request.keyDigest())) {
            return Either.left(Refusal.of(ErrorKind.KEY_REJECTED, "the organisation's key was withdrawn"));
        }
        if (request.slice().isPresent() && !isServable(request.slice().getAsInt())) {
            return Either.left(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, "the slice is being moved"));
        }
        return Either.right(token.get());
    }

    private boolean isServable(int slice) {
        return grantedSlices.slices().contains(slice)
                && records.table(pool).slices().get(slice).isServableBy(target);
    }

    private void release(long token) {
        if (grantReleased
                || admission.inFlightCount() > 0
                || clock.nowMillis() - lastGrantRequestMillis < RELEASE_INTERVAL_MILLIS) {
            return;
        }
        lastGrantRequestMillis = clock.nowMillis();
        // The same table version without slices makes the target reject renewals of this supervisor that arrive later.
        long version = settings.divided() ? Math.max(0, requestedVersion) : 0;
        targetClient
                .grant(new GrantRequest(target, token, version, Set.of(), 0))
                .thenAccept(acknowledgement -> {
                    grantReleased |= acknowledgement.accepted()
                            && rights.relinquishedToken(role).isPresent();
                });
    }

    private void requestGrant(long token) {
        SliceTable table = records.table(pool);
        Set<Integer> slices = settings.divided() ? table.servableBy(target) : Set.of();
        long version = settings.divided() ? table.version() : 0;
        // From here on no request outside the new grant may be sent, even before the target has acknowledged it.
        grantedSlices = new GrantedSlices(
                grantedSlices.token(), grantedSlices.tableVersion(), intersection(grantedSlices.slices(), slices));
        long sentAtMillis = clock.nowMillis();
        lastGrantRequestMillis = sentAtMillis;
        requestedVersion = version;
        long validUntilTargetMillis =
                mayGrantSlices(version) ? grantTracker.beginGrantRequest(rights.validUntilMillis()) : 0;
        GrantRequest grantRequest = new GrantRequest(target, token, version, slices, validUntilTargetMillis);
        metrics.count("supervisor.grant-orders");
        targetClient.grant(grantRequest).whenComplete((acknowledgement, failure) -> {
            if (failure == null) {
                onAcknowledgement(grantRequest, sentAtMillis, acknowledgement);
            } else {
                metrics.count("supervisor.grant-failures");
                if (FailureCauses.contain(failure, ConnectException.class)) {
                    suspect();
                }
            }
        });
    }

    private void onAcknowledgement(GrantRequest grantRequest, long sentAtMillis, GrantAcknowledgement acknowledgement) {
        boolean restarted = grantTracker.onAcknowledgement(
                grantRequest.validUntilTargetMillis(),
                sentAtMillis,
                acknowledgement.targetMillis(),
                acknowledgement.incarnation(),
                acknowledgement.accepted());
        admission.onIncarnation(acknowledgement.incarnation());
        if (restarted) {
            metrics.count("supervisor.target-restarts");
            log.write(LogEvent.TARGET_RESTARTED, target + " restarted as incarnation " + acknowledgement.incarnation());
        }
        if (!acknowledgement.accepted() && acknowledgement.highestToken() > grantRequest.token()) {
            log.write(LogEvent.TARGET_FENCED, target + " has seen the higher token " + acknowledgement.highestToken());
            return;
        }
        lastAcknowledgementMillis = clock.nowMillis();
        draining = acknowledgement.draining();
        if (grantRequest.validUntilTargetMillis() == 0 || restarted) {
            updateCondition();
            if (mayGrantSlices(grantRequest.tableVersion())) {
                requestGrant(grantRequest.token());
            }
            return;
        }
        if (acknowledgement.accepted() && grantRequest.tableVersion() >= grantedSlices.tableVersion()) {
            boolean slicesReleased =
                    acknowledgement.releasedWork() == 0 && admission.inFlightOutside(grantRequest.slices()) == 0;
            grantedSlices = new GrantedSlices(grantRequest.token(), grantRequest.tableVersion(), grantRequest.slices());
            if (slicesReleased) {
                releasedVersion = Math.max(releasedVersion, grantRequest.tableVersion());
            }
            updateCondition();
            admission.sendQueued();
        }
    }

    private void updateCondition() {
        long now = clock.nowMillis();
        boolean responsive = now - lastAcknowledgementMillis < SUSPECT_AFTER_MILLIS;
        TargetCondition next;
        if (responsive && (grantTracker.isLive() || !settings.checksTokens())) {
            next = draining || targetLeaving.getAsBoolean() ? TargetCondition.DRAINING : TargetCondition.LIVE;
        } else if (!responsive && hasCertainlyEnded(now)) {
            next = TargetCondition.LOST;
        } else {
            next = TargetCondition.SUSPECTED;
        }
        setCondition(next);
    }

    /** Returns whether no grant and no request that was sent to the target can be in force or running any more. */
    private boolean hasCertainlyEnded(long now) {
        long requestMillis = settings.checksTokens() ? 0 : settings.longestDeadlineMillis();
        return grantTracker.hasExpired() && now >= grantTracker.latestPossibleEndMillis() + requestMillis;
    }

    private void suspect() {
        lastAcknowledgementMillis = Math.min(lastAcknowledgementMillis, clock.nowMillis() - SUSPECT_AFTER_MILLIS);
        updateCondition();
    }

    private synchronized void setCondition(TargetCondition next) {
        if (next == condition) {
            return;
        }
        condition = next;
        lastReportMillis = 0;
        switch (next) {
            case LIVE -> log.write(LogEvent.TARGET_LIVE, target);
            case LOST -> {
                confirmation = new CoordinatorConfirmation(confirmation.losses() + 1, false, 0);
                log.write(LogEvent.TARGET_LOST, target);
                admission.refuseQueued(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, target + " is lost"));
            }
            case SUSPECTED -> log.write(LogEvent.TARGET_SUSPECTED, target);
            default -> metrics.count("supervisor.target-drains");
        }
    }

    private boolean mayGrantSlices(long tableVersion) {
        CoordinatorConfirmation current = confirmation;
        return !settings.divided() || (current.received() && tableVersion >= current.tableVersion());
    }

    private void report(long token) {
        long now = clock.nowMillis();
        boolean awaitsConfirmation = !confirmation.received() && condition != TargetCondition.LOST;
        if (settings.divided() && (awaitsConfirmation || now - lastReportMillis >= FleetTimes.REPORT_INTERVAL_MILLIS)) {
            lastReportMillis = now;
            int losses = confirmation.losses();
            TargetCondition reported = condition;
            reporter.apply(new TargetReport(
                            pool, target, token, reported, releasedVersion, admission.takeLoadBySlice()))
                    .thenAccept(answer -> onReportAnswer(reported, losses, answer));
        }
    }

    private synchronized void onReportAnswer(TargetCondition reported, int losses, PeerMessage message) {
        if (message instanceof TargetReportAnswer answer
                && answer.accepted()
                && reported != TargetCondition.LOST
                && !confirmation.received()
                && confirmation.losses() == losses) {
            confirmation = new CoordinatorConfirmation(losses, true, answer.tableVersion());
        }
    }

    private static Set<Integer> intersection(Set<Integer> left, Set<Integer> right) {
        return left.stream().filter(right::contains).collect(Collectors.toUnmodifiableSet());
    }
}
