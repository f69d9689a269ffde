package org.snipewind.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordDistributor;
import org.snipewind.daemon.record.RecordNames;
import org.snipewind.daemon.record.RecordUpdater;
import org.snipewind.daemon.record.StoreContact;

/**
 * Keeps the local copies of the store's records current. The holder of the watch role of a data centre watches the
 * store and pushes changes to the daemons of its data centre; all others read the store from time to time, in case a
 * push is lost.
 */
public final class StoreWatcher {

    // Shorter than the maximum age of the store contact, so that one lost response does not make a configuration stale.
    private static final long WATCH_TIMEOUT_MILLIS = 4_000;
    private static final long MEAN_BACKOFF_MILLIS = 2_000;

    private final String dataCentre;
    private final MillisClock clock;
    private final KeyValueStore store;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RecordDistributor distributor;
    private final RoleRights rights;
    private final StoreContact contact;
    private final EventLog log;
    private final Set<String> watching = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> storeVersions = new ConcurrentHashMap<>();
    private volatile long nextAttemptMillis;
    private volatile long nextReadMillis;
    private volatile boolean reachable = true;

    /**
     * Creates a watcher.
     *
     * @param dataCentre data centre of this daemon
     * @param clock the clock
     * @param store the store
     * @param records records of this daemon
     * @param updater reads records
     * @param distributor sends records to peers
     * @param rights rights of this daemon
     * @param contact records each response of the store
     * @param log the event log
     */
    public StoreWatcher(
            String dataCentre,
            MillisClock clock,
            KeyValueStore store,
            RecordCache records,
            RecordUpdater updater,
            RecordDistributor distributor,
            RoleRights rights,
            StoreContact contact,
            EventLog log) {
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.store = store;
        this.records = records;
        this.updater = updater;
        this.distributor = distributor;
        this.rights = rights;
        this.contact = contact;
        this.log = log;
    }

    /** Starts the watches or reads that are due. */
    public void run() {
        long now = clock.nowMillis();
        if (now < nextAttemptMillis) {
            return;
        }
        if (rights.activeToken(RoleNames.watch(dataCentre)).isPresent()) {
            watchedNames().stream().filter(watching::add).forEach(this::watch);
        } else if (now >= nextReadMillis) {
            nextReadMillis = now + jitter(FleetTimes.FALLBACK_READ_INTERVAL_MILLIS);
            read(RecordNames.CONFIGURATION);
            read(RecordNames.FLEET);
        }
    }

    private List<String> watchedNames() {
        List<String> names = new ArrayList<>(List.of(RecordNames.CONFIGURATION, RecordNames.FLEET));
        records.configuration()
                .ifPresent(current -> current.configuration().pools().forEach((pool, settings) -> {
                    if (settings.divided()) {
                        names.add(RecordNames.table(pool));
                    }
                }));
        return names;
    }

    private void watch(String name) {
        long known = storeVersions.getOrDefault(name, 0L);
        long startMillis = contact.beginCall();
        store.watch(name, known, WATCH_TIMEOUT_MILLIS).whenComplete((value, failure) -> {
            watching.remove(name);
            if (failure != null) {
                onStoreFailure(failure);
                return;
            }
            // A response without a value was sent only at the end of the watch.
            onStoreResponse(
                    value.isPresent() ? startMillis : Math.min(clock.nowMillis(), startMillis + WATCH_TIMEOUT_MILLIS));
            value.ifPresent(found -> applyChange(name, found));
        });
    }

    private void applyChange(String name, VersionedValue value) {
        storeVersions.put(name, value.version());
        if (records.putIfNewer(name, value.content())) {
            distributor.push(name, member -> member.dataCentre().equals(dataCentre));
        }
    }

    private void read(String name) {
        long startMillis = contact.beginCall();
        updater.refresh(name).whenComplete((ignored, failure) -> {
            if (failure == null) {
                onStoreResponse(startMillis);
            } else {
                onStoreFailure(failure);
            }
        });
    }

    private void onStoreResponse(long callStartMillis) {
        contact.recordStoreContact(callStartMillis);
        if (!reachable) {
            reachable = true;
            log.write(LogEvent.STORE_REACHABLE, "the store is reachable again");
        }
    }

    private void onStoreFailure(Throwable failure) {
        nextAttemptMillis = clock.nowMillis() + jitter(MEAN_BACKOFF_MILLIS);
        nextReadMillis = nextAttemptMillis;
        if (reachable) {
            reachable = false;
            log.write(LogEvent.STORE_UNREACHABLE, "the store is unreachable: " + failure.getMessage());
        }
    }

    private static long jitter(long meanMillis) {
        return ThreadLocalRandom.current().nextLong(meanMillis / 2, meanMillis * 3 / 2);
    }
}
