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
import org.snipewind.clients.target.GrantOrder;
import org.snipewind.clients.target.TargetEndpoint;
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
import org.snipewind.router.metrics.RouterMetrics;

/** Supervises one target: renews its grant, judges its condition and admits its requests. */
final class TargetSupervisor implements AutoCloseable {

    // Two missed renewals; one may be lost or late without anything being wrong.
    private static final long SUSPECT_AFTER_MILLIS = 2 * FleetTimes.GRANT_RENEWAL_INTERVAL_MILLIS;
    private static final long RETRY_ORDER_MILLIS = 100;
    private static final long RELEASE_INTERVAL_MILLIS = 40;

    private final String target;
    private final String pool;
    private final String role;
    private final MillisClock clock;
    private final RecordCache records;
    private final RoleRights rights;
    private final OrganisationDirectory organisations;
    private final BooleanSupplier leaving;
    private final TargetEndpoint endpoint;
    private final GrantTracker grant;
    private final TargetAdmission gate;
    private final Function<TargetReport, CompletableFuture<PeerMessage>> reporter;
    private final RouterMetrics metrics;
    private final EventLog log;
    private final long createdMillis;
    private final long assignedToken;
    private volatile PoolSettings settings;
    private volatile TargetCondition condition = TargetCondition.SUSPECTED;
    private volatile GrantedSlices granted = new GrantedSlices(0, 0, Set.of());
    private volatile long releasedVersion;
    private volatile long acknowledgedMillis;
    private volatile long orderedMillis;
    private volatile long orderedVersion = -1;
    private volatile long reportedMillis;
    private volatile boolean draining;
    private volatile boolean released;
    private volatile Clearance clearance = new Clearance(0, false, 0);

    /**
     * Whether slices may be granted. A new supervisor, and one that reported its target as lost, must not grant from
     * its copy of the table before the coordinator has answered a newer report: others may own the slices by now.
     */
    private record Clearance(int losses, boolean given, long tableVersion) {}

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
            TargetEndpoint endpoint,
            Function<TargetReport, CompletableFuture<PeerMessage>> reporter,
            RouterMetrics metrics,
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
        this.leaving = leaving;
        this.endpoint = endpoint;
        this.reporter = reporter;
        this.metrics = metrics;
        this.log = log;
        this.createdMillis = clock.nowMillis();
        this.acknowledgedMillis = createdMillis - SUSPECT_AFTER_MILLIS;
        this.orderedMillis = createdMillis - FleetTimes.GRANT_LIFETIME_MILLIS;
        this.grant = GrantTracker.withoutPredecessorGrant(
                clock, FleetTimes.GRANT_LIFETIME_MILLIS, FleetTimes.CLOCK_ERROR_MILLIS);
        this.gate = new TargetAdmission(
                target,
                settings,
                daemon.limits(),
                daemon.policy(),
                clock,
                endpoint,
                this::permit,
                this::isOpen,
                organisations::weightOf,
                metrics);
    }

    long assignedToken() {
        return assignedToken;
    }

    void configure(PoolSettings changed) {
        settings = changed;
        gate.configure(changed);
        gate.recheck();
    }

    void submit(SubmittedRequest admitted) {
        ForwardRequest request = admitted.request();
        if (rights.assignedToken(role).isEmpty()) {
            admitted.refuse(Refusal.of(ErrorKind.NOT_SUPERVISOR, "another daemon supervises " + target));
        } else if (condition == TargetCondition.LOST) {
            admitted.refuse(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, target + " is lost"));
        } else if (request.slice().isPresent() && !ownsSlice(request.slice().getAsInt())) {
            admitted.refuse(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, "the slice is not owned by " + target));
        } else {
            gate.submit(admitted);
        }
    }

    void cancel(String requestId) {
        gate.cancel(requestId);
    }

    /** Runs one round: renews the grant when it is due, judges the target and reports to the coordinator. */
    void run() {
        Optional<Long> token = rights.activeToken(role);
        if (token.isPresent()) {
            released = false;
            long interval =
                    condition == TargetCondition.LIVE ? FleetTimes.GRANT_RENEWAL_INTERVAL_MILLIS : RETRY_ORDER_MILLIS;
            boolean tableChanged = settings.divided() && records.table(pool).version() != orderedVersion;
            boolean notReleased = settings.divided() && releasedVersion < orderedVersion;
            long age = clock.nowMillis() - orderedMillis;
            if (age >= interval || tableChanged || (notReleased && age >= RETRY_ORDER_MILLIS / 2)) {
                order(token.get());
            }
            judge();
            report(token.get());
        }
        rights.relinquishedToken(role).ifPresent(this::release);
        gate.expire();
        gate.pump();
    }

    /** Reacts to a changed slice table or configuration without waiting for the next round. */
    void recheck() {
        gate.recheck();
        run();
    }

    LoadAnswer load() {
        return gate.load(isOpen() && condition == TargetCondition.LIVE);
    }

    /**
     * Tells whether the role can be given away: nothing is in flight, and the target has released its grant or the
     * grant has ended, so that a successor needs to wait for nothing.
     */
    boolean isIdle() {
        return gate.inFlightCount() == 0 && (released || grant.hasExpired());
    }

    TargetStatus status() {
        LoadAnswer load = load();
        return new TargetStatus(
                target,
                pool,
                gate.isSlow() && condition == TargetCondition.LIVE ? "SLOW" : condition.name(),
                load.inFlight(),
                load.queued(),
                load.limit(),
                load.latencyMicros(),
                rights.assignedToken(role).orElse(0L));
    }

    @Override
    public void close() {
        stopAdmitting();
        gate.closeWhenIdle();
    }

    void stopAdmitting() {
        gate.drain(Refusal.of(ErrorKind.NOT_SUPERVISOR, "another daemon supervises " + target));
    }

    private boolean ownsSlice(int slice) {
        return records.table(pool)
                .slices()
                .get(slice)
                .owner()
                .filter(target::equals)
                .isPresent();
    }

    /** The grant of a target that checks tokens, or the waiting time after a predecessor, must allow a send. */
    private boolean isOpen() {
        Optional<Long> token = rights.activeToken(role);
        if (token.isEmpty() || condition == TargetCondition.SUSPECTED || condition == TargetCondition.LOST) {
            return false;
        }
        if (settings.checksTokens()) {
            return grant.isLive() && granted.token() == token.get();
        }
        long wait = settings.longestDeadlineMillis() + FleetTimes.CLOCK_ERROR_MILLIS;
        return clock.nowMillis() - createdMillis >= wait;
    }

    private Either<Refusal, Long> permit(ForwardRequest request) {
        Optional<Long> token = rights.activeToken(role);
        if (token.isEmpty() || !isOpen()) {
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
        return granted.slices().contains(slice)
                && records.table(pool).slices().get(slice).isServableBy(target);
    }

    private void release(long token) {
        if (released || gate.inFlightCount() > 0 || clock.nowMillis() - orderedMillis < RELEASE_INTERVAL_MILLIS) {
            return;
        }
        orderedMillis = clock.nowMillis();
        // The same table version without slices: the target refuses renewals of this supervisor that arrive later.
        long version = settings.divided() ? Math.max(0, orderedVersion) : 0;
        endpoint.grant(new GrantOrder(target, token, version, Set.of(), 0)).thenAccept(answer -> {
            released |= answer.accepted() && rights.relinquishedToken(role).isPresent();
        });
    }

    private void order(long token) {
        SliceTable table = records.table(pool);
        Set<Integer> slices = settings.divided() ? table.servableBy(target) : Set.of();
        long version = settings.divided() ? table.version() : 0;
        // From here on nothing outside the new order may be sent, also while the order is on its way.
        granted = new GrantedSlices(granted.token(), granted.tableVersion(), intersection(granted.slices(), slices));
        long sentAt = clock.nowMillis();
        orderedMillis = sentAt;
        orderedVersion = version;
        long validUntil = isCleared(version) ? grant.beginGrantRequest(rights.validUntilMillis()) : 0;
        GrantOrder order = new GrantOrder(target, token, version, slices, validUntil);
        metrics.count("supervisor.grant-orders");
        endpoint.grant(order).whenComplete((answer, failure) -> {
            if (failure == null) {
                acknowledged(order, sentAt, answer);
            } else {
                metrics.count("supervisor.grant-failures");
                if (FailureCauses.contain(failure, ConnectException.class)) {
                    suspect();
                }
            }
        });
    }

    private void acknowledged(GrantOrder order, long sentAt, GrantAcknowledgement answer) {
        boolean restarted = grant.onAcknowledgement(
                order.validUntilTargetMillis(), sentAt, answer.targetMillis(), answer.incarnation(), answer.accepted());
        gate.noteIncarnation(answer.incarnation());
        if (restarted) {
            metrics.count("supervisor.target-restarts");
            log.write(LogEvent.TARGET_RESTARTED, target + " is now " + answer.incarnation());
        }
        if (!answer.accepted() && answer.highestToken() > order.token()) {
            log.write(LogEvent.TARGET_FENCED, target + " obeys token " + answer.highestToken());
            return;
        }
        acknowledgedMillis = clock.nowMillis();
        draining = answer.draining();
        if (order.validUntilTargetMillis() == 0 || restarted) {
            judge();
            if (isCleared(order.tableVersion())) {
                order(order.token());
            }
            return;
        }
        if (answer.accepted() && order.tableVersion() >= granted.tableVersion()) {
            boolean released = answer.releasedWork() == 0 && gate.inFlightOutside(order.slices()) == 0;
            granted = new GrantedSlices(order.token(), order.tableVersion(), order.slices());
            if (released) {
                releasedVersion = Math.max(releasedVersion, order.tableVersion());
            }
            judge();
            gate.pump();
        }
    }

    private void judge() {
        long now = clock.nowMillis();
        boolean answers = now - acknowledgedMillis < SUSPECT_AFTER_MILLIS;
        TargetCondition next;
        if (answers && (grant.isLive() || !settings.checksTokens())) {
            next = draining || leaving.getAsBoolean() ? TargetCondition.DRAINING : TargetCondition.LIVE;
        } else if (!answers && hasEnded(now)) {
            next = TargetCondition.LOST;
        } else {
            next = TargetCondition.SUSPECTED;
        }
        change(next);
    }

    private boolean hasEnded(long now) {
        long requests = settings.checksTokens() ? 0 : settings.longestDeadlineMillis();
        return grant.hasExpired() && now >= grant.latestPossibleEndMillis() + requests;
    }

    private void suspect() {
        acknowledgedMillis = Math.min(acknowledgedMillis, clock.nowMillis() - SUSPECT_AFTER_MILLIS);
        judge();
    }

    private synchronized void change(TargetCondition next) {
        if (next == condition) {
            return;
        }
        condition = next;
        reportedMillis = 0;
        switch (next) {
            case LIVE -> log.write(LogEvent.TARGET_LIVE, target);
            case LOST -> {
                clearance = new Clearance(clearance.losses() + 1, false, 0);
                log.write(LogEvent.TARGET_LOST, target);
                gate.drain(Refusal.of(ErrorKind.OWNER_UNAVAILABLE, target + " is lost"));
            }
            case SUSPECTED -> log.write(LogEvent.TARGET_SUSPECTED, target);
            default -> metrics.count("supervisor.target-drains");
        }
    }

    private boolean isCleared(long tableVersion) {
        Clearance present = clearance;
        return !settings.divided() || (present.given() && tableVersion >= present.tableVersion());
    }

    private void report(long token) {
        long now = clock.nowMillis();
        boolean waitsForClearance = !clearance.given() && condition != TargetCondition.LOST;
        if (settings.divided() && (waitsForClearance || now - reportedMillis >= FleetTimes.REPORT_INTERVAL_MILLIS)) {
            reportedMillis = now;
            int losses = clearance.losses();
            TargetCondition reported = condition;
            reporter.apply(new TargetReport(pool, target, token, reported, releasedVersion, gate.takeLoad()))
                    .thenAccept(answer -> clear(reported, losses, answer));
        }
    }

    private synchronized void clear(TargetCondition reported, int losses, PeerMessage message) {
        if (message instanceof TargetReportAnswer answer
                && answer.accepted()
                && reported != TargetCondition.LOST
                && !clearance.given()
                && clearance.losses() == losses) {
            clearance = new Clearance(losses, true, answer.tableVersion());
        }
    }

    private static Set<Integer> intersection(Set<Integer> left, Set<Integer> right) {
        return left.stream().filter(right::contains).collect(Collectors.toUnmodifiableSet());
    }
}
