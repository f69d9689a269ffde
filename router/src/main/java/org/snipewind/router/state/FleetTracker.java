package org.snipewind.router.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.RoutingConfiguration;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StoreItemParser;

/** Draws the view of the fleet from the copy of the store; written by the control loop, read by all threads. */
public final class FleetTracker implements StoreCacheListener {

    /** The fleet counts as large as it was within this time, since instances restart and come back. */
    private static final long FLEET_MEMORY_MILLIS = 30_000;

    /**
     * Targets whose entries lapsed while the store was away write them again within two seconds of its return; until
     * then they stay in service.
     */
    private static final long LAPSE_MILLIS = 2_500;

    private final StoreItemParser reader;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final List<Runnable> observers = new CopyOnWriteArrayList<>();
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, MemberRecord> members = new HashMap<>();
    private final Map<String, Long> lapsedUntilMillis = new HashMap<>();
    private final Map<String, Long> memberSeenMillis = new HashMap<>();
    private final Map<String, KeyTable> tables = new HashMap<>();
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private Optional<LeaderRecord> leader = Optional.empty();
    private LongSupplier storeBackMillis = () -> Long.MAX_VALUE;
    private volatile FleetView view = FleetView.EMPTY;

    /**
     * Creates a tracker that knows nothing.
     *
     * @param reader reads the operators' and the targets' items
     * @param clock the clock of the targets' states
     * @param log the log
     */
    public FleetTracker(StoreItemParser reader, MillisClock clock, RouterEventLog log) {
        this.reader = reader;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Gives the newest view.
     *
     * @return the view
     */
    public FleetView view() {
        return view;
    }

    /**
     * Sets what tells how long ago the store came back after an outage.
     *
     * @param storeBackMillis milliseconds since its return, very large without an outage
     */
    public void setReconnectAgeSupplier(LongSupplier storeBackMillis) {
        this.storeBackMillis = storeBackMillis;
    }

    /** Ends the service of targets whose entries did not come back after an outage of the store. */
    public void removeExpiredTargets() {
        long now = clock.nowMillis();
        List<String> gone = lapsedUntilMillis.entrySet().stream()
                .filter(entry -> entry.getValue() <= now)
                .map(Map.Entry::getKey)
                .toList();
        gone.forEach(id -> {
            lapsedUntilMillis.remove(id);
            removeTarget(id);
        });
        if (!gone.isEmpty()) {
            changesApplied();
        }
    }

    /**
     * Adds an observer that is called on the control loop after each change.
     *
     * @param observer the observer
     */
    public void addObserver(Runnable observer) {
        observers.add(observer);
    }

    @Override
    public void itemChanged(StoreItem item) {
        if (item.key().startsWith(StoreKeys.ROOT_PREFIX)) {
            changedOwn(item);
            return;
        }
        reader.kindOf(item.key()).ifPresent(kind -> {
            String subject = reader.entityIdOf(item.key());
            switch (kind) {
                case CONFIGURATION -> changedConfiguration(item);
                case TARGET -> changedTarget(subject, item);
                case EVACUATION -> {
                    evacuated.add(subject);
                    log.write(
                            RouterEvent.EVACUATION_CHANGED,
                            () -> "data-centre=" + subject + " evacuated=true revision=" + item.revision());
                }
                default -> throw new IllegalStateException("unknown kind " + kind);
            }
        });
    }

    private void changedOwn(StoreItem item) {
        String key = item.key();
        if (key.startsWith(StoreKeys.MEMBER_PREFIX)) {
            RecordCodec.decodeMember(item.value())
                    .ifPresentOrElse(this::addMember, () -> unreadable(item, "member record"));
        } else if (key.equals(StoreKeys.LEADER)) {
            leader = RecordCodec.decodeMember(item.value())
                    .map(member -> new LeaderRecord(member, item.lease(), item.revision()));
            leader.ifPresent(now -> log.write(
                    RouterEvent.LEADER_CHANGED,
                    () -> "leader=" + now.member().name() + " revision=" + item.revision()));
        } else if (key.startsWith(StoreKeys.KEY_TABLE_PREFIX)) {
            RecordCodec.decodeKeyTable(item.value())
                    .ifPresentOrElse(
                            table -> tables.put(key.substring(StoreKeys.KEY_TABLE_PREFIX.length()), table),
                            () -> unreadable(item, "table of holders"));
        }
    }

    private void addMember(MemberRecord member) {
        MemberRecord before = members.put(member.name(), member);
        if (!member.equals(before)) {
            log.write(
                    RouterEvent.MEMBERS_CHANGED,
                    () -> "joined=" + member.name() + " boot=" + member.bootId() + " members=" + members.size());
        }
    }

    private void changedConfiguration(StoreItem item) {
        reader.parseConfiguration(item.value())
                .peek(read -> {
                    if (configuration.isPresent() && configuration.get().version() > read.version()) {
                        unreadable(item, "version " + read.version() + " is older than the one in force");
                        return;
                    }
                    configuration = Optional.of(read);
                    log.write(
                            RouterEvent.CONFIGURATION_IN_FORCE,
                            () -> "version=" + read.version() + " revision=" + item.revision() + " pools="
                                    + read.pools().size());
                })
                .peekLeft(problem -> unreadable(item, problem));
    }

    private void changedTarget(String id, StoreItem item) {
        reader.parseTarget(id, item.value()).peek(this::addTarget).peekLeft(problem -> {
            unreadable(item, problem);
            targets.remove(id);
        });
    }

    private void addTarget(TargetRegistration entry) {
        long now = clock.nowMillis();
        lapsedUntilMillis.remove(entry.id());
        TargetState known = targets.get(entry.id());
        if (known != null && known.registration().isNewerThan(entry)) {
            return;
        }
        if (known != null && known.registration().incarnation().equals(entry.incarnation())) {
            known.update(entry, now);
        } else {
            targets.put(entry.id(), new TargetState(entry, now));
        }
        log.write(
                RouterEvent.TARGET_CHANGED,
                () -> "target=" + entry.incarnation() + " pool=" + entry.pool() + " draining=" + entry.draining()
                        + " cold=" + entry.coldStartRemainingMillis() + "ms");
    }

    private void unreadable(StoreItem item, String problem) {
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
            tables.remove(key.substring(StoreKeys.KEY_TABLE_PREFIX.length()));
        } else {
            removedByOthers(key);
        }
    }

    private void removedByOthers(String key) {
        reader.kindOf(key).ifPresent(kind -> {
            String subject = reader.entityIdOf(key);
            long back = storeBackMillis.getAsLong();
            if (kind == StoreItemParser.Kind.TARGET && back < LAPSE_MILLIS) {
                lapsedUntilMillis.put(subject, clock.nowMillis() + LAPSE_MILLIS - back);
            } else if (kind == StoreItemParser.Kind.TARGET) {
                removeTarget(subject);
            } else if (kind == StoreItemParser.Kind.EVACUATION && evacuated.remove(subject)) {
                log.write(RouterEvent.EVACUATION_CHANGED, () -> "data-centre=" + subject + " evacuated=false");
            }
        });
    }

    private void removeTarget(String id) {
        if (targets.remove(id) != null) {
            log.write(RouterEvent.TARGET_CHANGED, () -> "target=" + id + " gone=true");
        }
    }

    @Override
    public void changesApplied() {
        long now = clock.nowMillis();
        members.keySet().forEach(name -> memberSeenMillis.put(name, now));
        memberSeenMillis.values().removeIf(seen -> now - seen > FLEET_MEMORY_MILLIS);
        Map<String, List<TargetState>> inService = new HashMap<>();
        for (String id : new TreeSet<>(targets.keySet())) {
            TargetState state = targets.get(id);
            if (!state.registration().draining()
                    && !evacuated.contains(state.registration().dataCentre())) {
                inService
                        .computeIfAbsent(state.registration().pool(), pool -> new ArrayList<>())
                        .add(state);
            }
        }
        view = new FleetView(
                configuration,
                Map.copyOf(targets),
                inService,
                Set.copyOf(evacuated),
                Map.copyOf(members),
                Map.copyOf(tables),
                leader,
                Math.max(1, memberSeenMillis.size()));
        observers.forEach(Runnable::run);
    }
}
