package org.snipewind.daemon.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.snipewind.clients.configuration.ConfigurationCodec;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.store.RecordCodec;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.protocol.RecordVersions;

/** Local copies of the store's records; a lower version never replaces a higher one. */
public final class RecordCache {

    private final MillisClock clock;
    private final EventLog log;
    private final Map<String, EncodedRecord> encodedByName = new HashMap<>();
    private final Map<String, SliceTable> tables = new ConcurrentHashMap<>();
    private final List<RecordListener> listeners = new CopyOnWriteArrayList<>();
    private volatile Optional<ConfigurationRevision> configuration = Optional.empty();
    private volatile FleetRecord fleet = FleetRecord.EMPTY;
    private volatile long configurationSinceMillis;

    /**
     * Creates an empty cache.
     *
     * @param clock the clock
     * @param log the event log
     */
    public RecordCache(MillisClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
        this.configurationSinceMillis = clock.nowMillis();
    }

    /**
     * Adds a listener.
     *
     * @param listener notified of each changed record
     */
    public void addListener(RecordListener listener) {
        listeners.add(listener);
    }

    /**
     * Stores a record if its version is higher than that of the cached one, and notifies the listeners.
     *
     * @param name store key of the record
     * @param content encoded record
     * @return true if the record was newer; false also if it cannot be decoded
     */
    public boolean putIfNewer(String name, byte[] content) {
        boolean changed;
        try {
            changed = decodeAndPut(name, content);
        } catch (RuntimeException e) {
            log.write(
                    LogEvent.RECORD_MALFORMED,
                    "cannot decode record " + name + " of " + content.length + " bytes; keeping the known version",
                    e);
            return false;
        }
        if (changed) {
            listeners.forEach(listener -> listener.recordChanged(name));
        }
        return changed;
    }

    /**
     * Returns the current configuration.
     *
     * @return the revision, or empty while none is known
     */
    public Optional<ConfigurationRevision> configuration() {
        return configuration;
    }

    /**
     * Returns the time at which this daemon received the current configuration.
     *
     * @return time on the clock of this daemon in milliseconds
     */
    public long configurationSinceMillis() {
        return configurationSinceMillis;
    }

    /**
     * Returns the fleet record.
     *
     * @return the newest known record
     */
    public FleetRecord fleet() {
        return fleet;
    }

    /**
     * Returns the slice table of a pool.
     *
     * @param pool name of the pool
     * @return the newest known table, or an empty one of version 0 if none is known
     */
    public SliceTable table(String pool) {
        SliceTable table = tables.get(RecordNames.table(pool));
        return table == null ? SliceTable.empty(pool) : table;
    }

    /**
     * Returns the versions of the known records.
     *
     * @return version by store key
     */
    public RecordVersions versions() {
        Map<String, Long> versions = new HashMap<>();
        synchronized (encodedByName) {
            encodedByName.forEach((name, record) -> versions.put(name, record.version()));
        }
        return new RecordVersions(versions);
    }

    /**
     * Returns the version of a record.
     *
     * @param name store key of the record
     * @return the version, 0 if the record is not known
     */
    public long version(String name) {
        synchronized (encodedByName) {
            EncodedRecord record = encodedByName.get(name);
            return record == null ? 0 : record.version();
        }
    }

    /**
     * Returns the encoded form of a record.
     *
     * @param name store key of the record
     * @return the bytes, or empty if the record is not known
     */
    public Optional<byte[]> content(String name) {
        synchronized (encodedByName) {
            return Optional.ofNullable(encodedByName.get(name)).map(EncodedRecord::content);
        }
    }

    private boolean decodeAndPut(String name, byte[] content) {
        if (name.equals(RecordNames.CONFIGURATION)) {
            ConfigurationRevision revision = ConfigurationCodec.decodeRevision(content)
                    .getOrElseThrow(problem -> new IllegalArgumentException(problem));
            return replaceIfNewer(name, revision.revision(), content, () -> {
                configuration = Optional.of(revision);
                configurationSinceMillis = clock.nowMillis();
            });
        }
        if (name.equals(RecordNames.FLEET)) {
            FleetRecord record = RecordCodec.decodeFleetRecord(content);
            return replaceIfNewer(name, record.epoch(), content, () -> fleet = record);
        }
        if (RecordNames.isTable(name)) {
            SliceTable table = RecordCodec.decodeSliceTable(content);
            return replaceIfNewer(name, table.version(), content, () -> tables.put(name, table));
        }
        return false;
    }

    private boolean replaceIfNewer(String name, long version, byte[] content, Runnable assignment) {
        synchronized (encodedByName) {
            EncodedRecord known = encodedByName.get(name);
            if (known != null && known.version() >= version) {
                return false;
            }
            encodedByName.put(name, new EncodedRecord(version, content));
            assignment.run();
            return true;
        }
    }
}
