package org.snipewind.router.state;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetNotices;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;

/**
 * Maintains the {@link FleetView} from the items of the store cache. Changes are applied on the control event loop; any
 * thread may read the view.
 */
public final class FleetTracker implements StoreCacheListener {

    /** The fleet size is the number of instances seen within this time, since an instance that restarts will return. */
    private static final long FLEET_SIZE_WINDOW_MILLIS = 30_000;

    /**
     * Time after an outage of the store during which targets whose registration has expired stay in service. They
     * register again within two seconds of its end.
     */
    private static final long REGISTRATION_GRACE_MILLIS = 2_500;

    /** Pause before a configuration is parsed again; a large one keeps the control loop busy for 0.2 s at first. */
    private static final long CONFIGURATION_RETRY_MILLIS = 1_000;

    private final StoreItemParser parser;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final TargetNotices notices;
    private final List<Runnable> observers = new CopyOnWriteArrayList<>();
    private final TargetRegistry targets = new TargetRegistry();
    private final Set<String> evacuatedDataCentres = new HashSet<>();
    private final Map<String, MemberRecord> members = new HashMap<>();
    private final Map<String, Long> graceEndMillisByTarget = new HashMap<>();
    private final Map<String, Long> memberLastSeenMillis = new HashMap<>();
    private final RolloutItems rollouts;
    private final KnownKeyTables keyTables = new KnownKeyTables();

    /** Era of the newest item. */
    private long era;

    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private Optional<StoreItem> pendingConfiguration = Optional.empty();
    private long configurationRetryMillis;
    private Optional<LeaderRecord> leader = Optional.empty();
    private LongSupplier reconnectAgeMillis = () -> Long.MAX_VALUE;
    private Executor controlLoop = Runnable::run;
    private volatile FleetView view = FleetView.EMPTY;
    private volatile long unreadableConfigurationRevision;

    /**
     * Creates a tracker with an empty view.
     *
     * @param parser parses the items of operators and targets
     * @param clock clock of the target states and of the grace period
     * @param log the event log
     */
    public FleetTracker(StoreItemParser parser, MillisClock clock, RouterEventLog log) {
        this.parser = parser;
        this.clock = clock;
        this.log = log;
        this.notices = new TargetNotices(clock, System::currentTimeMillis);
        this.rollouts = new RolloutItems(clock, log);
    }

    /**
     * Returns the current view.
     *
     * @return the view
     */
    public FleetView view() {
        return view;
    }

    /**
     * Sets the supplier of the time since the store became reachable again after an outage.
     *
     * @param reconnectAgeMillis milliseconds, 0 during an outage, very large if there was none
     */
    public void setReconnectAgeSupplier(LongSupplier reconnectAgeMillis) {
        this.reconnectAgeMillis = reconnectAgeMillis;
    }

    /**
     * Sets the executor on which the view is changed after notices of targets.
     *
     * @param controlLoop the control event loop
     */
    public void setControlLoop(Executor controlLoop) {
        this.controlLoop = controlLoop;
    }

    /**
     * Returns what targets have said about further requests.
     *
     * @return the notices, which any thread may read
     */
    public TargetNotices notices() {
        return notices;
    }

    /**
     * Records that a target has said that it is leaving. It gets no further requests at once, and is not in service in
     * later views. May be called on any thread.
     *
     * @param incarnation incarnation of the target
     */
    public void recordLeaving(String incarnation) {
        if (notices.recordLeaving(incarnation)) {
            log.write(RouterEvent.TARGET_LEAVING, () -> "target=" + incarnation);
            controlLoop.execute(this::changesApplied);
        }
    }

    /** Tries again to put a configuration in force whose parser ran out of memory, even if nothing else changes. */
    public void retryPendingConfiguration() {
        if (isConfigurationDue()) {
            changesApplied();
        }
    }

    /** Removes targets that did not register again within the grace period after an outage of the store. */
    public void removeExpiredTargets() {
        long now = clock.nowMillis();
        List<String> expired = graceEndMillisByTarget.entrySet().stream()
                .filter(entry -> entry.getValue() <= now)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(id -> {
            graceEndMillisByTarget.remove(id);
            removeTarget(id);
        });
        if (!expired.isEmpty()) {
            changesApplied();
        }
    }

    /**
     * Adds an observer that is called on the control event loop after each change of the view.
     *
     * @param observer the observer
     */
    public void addObserver(Runnable observer) {
        observers.add(observer);
    }

    @Override
    public void itemChanged(StoreItem item) {
        era = Math.max(era, StorePosition.eraOf(item.revision()));
        if (item.key().startsWith(StoreKeys.ROOT_PREFIX)) {
            applyOwnItem(item);
            return;
        }
        parser.kindOf(item.key()).ifPresent(kind -> {
            String entityId = parser.entityIdOf(item.key());
            switch (kind) {
                case CONFIGURATION -> {
                    pendingConfiguration = Optional.of(item);
                    configurationRetryMillis = clock.nowMillis();
                }
                case TARGET -> applyTarget(entityId, item);
                case ROLLOUT_ORDER ->
                    rollouts.applyOrder(
                            entityId,
                            item,
                            parse(() -> parser.parseRolloutOrder(entityId, item.revision(), item.value())));
                case EVACUATION -> {
                    evacuatedDataCentres.add(entityId);
                    log.write(
                            RouterEvent.EVACUATION_CHANGED,
                            () -> "data-centre=" + entityId + " evacuated=true revision=" + item.revision());
                }
                default -> throw new IllegalStateException("unknown kind " + kind);
            }
        });
    }

    private void applyOwnItem(StoreItem item) {
        String key = item.key();
        if (key.startsWith(StoreKeys.MEMBER_PREFIX)) {
            RecordCodec.decodeMember(item.value())
                    .ifPresentOrElse(this::addMember, () -> logUnreadable(item, "member record is malformed"));
        } else if (key.equals(StoreKeys.LEADER)) {
            Optional<MemberRecord> leadingMember = RecordCodec.decodeMember(item.value());
            if (leadingMember.isEmpty()) {
                logUnreadable(item, "leader record is malformed");
            }
            leader = leadingMember.map(member -> new LeaderRecord(member, item.lease(), item.revision()));
            leader.ifPresent(newLeader -> log.write(
                    RouterEvent.LEADER_CHANGED,
                    () -> "leader=" + newLeader.member().name() + " revision=" + item.revision()));
        } else if (key.startsWith(StoreKeys.KEY_TABLE_PREFIX)) {
            RecordCodec.decodeWrittenTable(item.value())
                    .ifPresentOrElse(
                            table -> applyKeyTable(key.substring(StoreKeys.KEY_TABLE_PREFIX.length()), table, item),
                            () -> logUnreadable(item, "key table is malformed"));
        } else if (key.startsWith(StoreKeys.ROLLOUT_PREFIX)) {
            rollouts.applyRecord(item);
        }
    }

    private void applyKeyTable(String pool, WrittenKeyTable table, StoreItem item) {
        if (!keyTables.apply(pool, table, item.revision())) {
            logKept(item.key());
        }
    }

    private void logKept(String key) {
        log.write(RouterEvent.LOST_WRITE_KEPT, () -> "key=" + key + " era=" + era);
    }

    private void addMember(MemberRecord member) {
        MemberRecord previous = members.put(member.name(), member);
        if (!member.equals(previous)) {
            log.write(
                    RouterEvent.MEMBERS_CHANGED,
                    () -> "joined=" + member.name() + " boot=" + member.bootId() + " members=" + members.size());
        }
    }

    /** Parses an item. A fault of the parser makes the item unreadable, like a problem that it reports. */
    private static <T> Either<String, T> parse(Supplier<Either<String, T>> parsing) {
        try {
            return parsing.get();
        } catch (RuntimeException | StackOverflowError e) {
            return Either.left("the parser failed: " + e);
        }
    }

    /**
     * Puts the last written configuration in force. Those that it has replaced since the last changes are not parsed,
     * as parsing a large one takes long. If the parser runs out of memory, it is parsed again later.
     */
    private void applyPendingConfiguration() {
        if (isConfigurationDue()) {
            StoreItem item = pendingConfiguration.get();
            configurationRetryMillis = clock.nowMillis() + CONFIGURATION_RETRY_MILLIS;
            new GuardedTask(log, "read of a configuration", () -> {
                        applyConfiguration(item);
                        pendingConfiguration = Optional.empty();
                    })
                    .run();
        }
    }

    private boolean isConfigurationDue() {
        return pendingConfiguration.isPresent() && clock.nowMillis() >= configurationRetryMillis;
    }

    private void applyConfiguration(StoreItem item) {
        parse(() -> parser.parseConfiguration(item.value()))
                .peek(parsed -> {
                    if (configuration.isPresent() && configuration.get().version() > parsed.version()) {
                        logUnreadable(item, "version " + parsed.version() + " is older than the one in force");
                        return;
                    }
                    boolean newVersion = configuration
                            .filter(current -> current.version() == parsed.version())
                            .isEmpty();
                    configuration = Optional.of(parsed);
                    unreadableConfigurationRevision = 0;
                    if (newVersion) {
                        parsed.problems().forEach(problem -> logUnreadablePart(parsed.version(), problem));
                    }
                    log.write(
                            RouterEvent.CONFIGURATION_IN_FORCE,
                            () -> "version=" + parsed.version() + " revision=" + item.revision() + " pools="
                                    + parsed.pools().size());
                })
                .peekLeft(problem -> {
                    unreadableConfigurationRevision = item.revision();
                    logUnreadable(item, problem);
                });
    }

    private void logUnreadablePart(long version, String problem) {
        log.write(RouterEvent.CONFIGURATION_PART_UNREADABLE, () -> "version=" + version + " problem=" + problem);
    }

    /**
     * Returns the revision of the newest configuration if it can't be read and an older one is in force.
     *
     * @return the revision, 0 if the newest configuration is in force
     */
    public long unreadableConfigurationRevision() {
        return unreadableConfigurationRevision;
    }

    private void applyTarget(String id, StoreItem item) {
        // What the fields of a registration lead to counts as reading it, so that a fault there names no target either.
        parse(() -> parser.parseTarget(id, item.value()).peek(this::addTarget)).peekLeft(problem -> {
            logUnreadable(item, problem);
            targets.remove(id, era);
        });
    }

    private void addTarget(TargetRegistration registration) {
        long now = clock.nowMillis();
        graceEndMillisByTarget.remove(registration.id());
        if (!targets.register(registration, era, now)) {
            return;
        }
        log.write(
                RouterEvent.TARGET_CHANGED,
                () -> "target=" + registration.incarnation() + " pool=" + registration.pool() + " draining="
                        + registration.draining() + " cold=" + registration.coldStartRemainingMillis() + "ms");
    }

    private void logUnreadable(StoreItem item, String problem) {
        log.write(
                RouterEvent.ITEM_UNREADABLE,
                () -> "key=" + item.key() + " revision=" + item.revision() + " problem=" + problem);
    }

    @Override
    public void itemRemoved(String key) {
        if (key.startsWith(StoreKeys.MEMBER_PREFIX)) {
            String name = key.substring(StoreKeys.MEMBER_PREFIX.length());
            members.remove(name);
            log.write(RouterEvent.MEMBERS_CHANGED, () -> "left=" + name + " members=" + members.size());
        } else if (key.equals(StoreKeys.LEADER)) {
            leader = Optional.empty();
            log.write(RouterEvent.LEADER_CHANGED, () -> "leader=none");
        } else if (key.startsWith(StoreKeys.KEY_TABLE_PREFIX)) {
            keyTables.remove(key.substring(StoreKeys.KEY_TABLE_PREFIX.length()));
        } else if (key.startsWith(StoreKeys.ROLLOUT_PREFIX)) {
            rollouts.removeRecord(key);
        } else {
            removePlatformItem(key);
        }
    }

    /**
     * Keeps what the restored store has lost in force: key tables until a leader writes them, evacuations until the
     * operator does, targets until the time to register again is over. The configuration stays in any case.
     */
    @Override
    public void itemLost(String key, long position) {
        era = Math.max(era, StorePosition.eraOf(position));
        if (key.startsWith(StoreKeys.KEY_TABLE_PREFIX)) {
            logKept(key);
            return;
        }
        Optional<StoreItemParser.Kind> kind =
                key.startsWith(StoreKeys.ROOT_PREFIX) ? Optional.empty() : parser.kindOf(key);
        if (kind.equals(Optional.of(StoreItemParser.Kind.EVACUATION))) {
            logKept(key);
        } else if (kind.equals(Optional.of(StoreItemParser.Kind.TARGET))) {
            graceEndMillisByTarget.put(parser.entityIdOf(key), clock.nowMillis() + REGISTRATION_GRACE_MILLIS);
            logKept(key);
        } else {
            itemRemoved(key);
        }
    }

    private void removePlatformItem(String key) {
        parser.kindOf(key).ifPresent(kind -> {
            String entityId = parser.entityIdOf(key);
            long reconnectAge = reconnectAgeMillis.getAsLong();
            if (kind == StoreItemParser.Kind.TARGET && reconnectAge < REGISTRATION_GRACE_MILLIS) {
                graceEndMillisByTarget.put(entityId, clock.nowMillis() + REGISTRATION_GRACE_MILLIS - reconnectAge);
            } else if (kind == StoreItemParser.Kind.TARGET) {
                removeTarget(entityId);
            } else if (kind == StoreItemParser.Kind.ROLLOUT_ORDER) {
                rollouts.removeOrder(entityId);
            } else if (kind == StoreItemParser.Kind.EVACUATION && evacuatedDataCentres.remove(entityId)) {
                log.write(RouterEvent.EVACUATION_CHANGED, () -> "data-centre=" + entityId + " evacuated=false");
            }
        });
    }

    private void removeTarget(String id) {
        if (targets.remove(id, era)) {
            log.write(RouterEvent.TARGET_CHANGED, () -> "target=" + id + " gone=true");
        }
    }

    @Override
    public void changesApplied() {
        applyPendingConfiguration();
        long now = clock.nowMillis();
        members.keySet().forEach(name -> memberLastSeenMillis.put(name, now));
        memberLastSeenMillis.values().removeIf(seen -> now - seen > FLEET_SIZE_WINDOW_MILLIS);
        Map<String, List<TargetState>> inService = new HashMap<>();
        Map<String, TargetState> registered = targets.registered();
        for (String id : new TreeSet<>(registered.keySet())) {
            TargetState state = registered.get(id);
            if (!state.registration().draining()
                    && !notices.isLeaving(state.incarnation())
                    && !evacuatedDataCentres.contains(state.registration().dataCentre())) {
                inService
                        .computeIfAbsent(state.registration().pool(), pool -> new ArrayList<>())
                        .add(state);
            }
        }
        view = new FleetView(
                configuration,
                registered,
                inService,
                Set.copyOf(evacuatedDataCentres),
                Map.copyOf(members),
                keyTables.tables(),
                leader,
                Math.max(1, memberLastSeenMillis.size()),
                rollouts.view());
        observers.forEach(observer -> new GuardedTask(log, "observer of the fleet view", observer).run());
    }
}
