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

/** The newest copies of the store's records that this daemon knows of; a lower version never replaces a higher one. */
public final class RecordCache {

    private final MillisClock clock;
    private final EventLog log;
    private final Map<String, EncodedRecord> encoded = new HashMap<>();
    private final Map<String, SliceTable> tables = new ConcurrentHashMap<>();
    private final List<RecordListener> listeners = new CopyOnWriteArrayList<>();
    private volatile Optional<ConfigurationRevision> configuration = Optional.empty();
    private volatile FleetRecord fleet = FleetRecord.EMPTY;
    private volatile long configurationSinceMillis;

    /**
     * Creates an empty set of records.
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
     * @param listener hears of each change
     */
    public void addListener(RecordListener listener) {
        listeners.add(listener);
    }

    /**
     * Takes a record if it is newer than the known one.
     *
     * @param name store key of the record
     * @param content encoded record
     * @return true if the record was newer and is now in force
     */
    public boolean putIfNewer(String name, byte[] content) {
        boolean changed;
        try {
            changed = take(name, content);
        } catch (RuntimeException e) {
            log.write(LogEvent.RECORD_MALFORMED, "record " + name + " of " + content.length + " bytes", e);
            return false;
        }
        if (changed) {
            listeners.forEach(listener -> listener.recordChanged(name));
        }
        return changed;
    }

    /**
     * Gives the configuration in force.
     *
     * @return the revision, or empty while none is known
     */
    public Optional<ConfigurationRevision> configuration() {
        return configuration;
    }

    /**
     * Tells since when the configuration is in force on this daemon.
     *
     * @return reading of the clock in milliseconds
     */
    public long configurationSinceMillis() {
        return configurationSinceMillis;
    }

    /**
     * Gives the fleet record.
     *
     * @return the newest known record
     */
    public FleetRecord fleet() {
        return fleet;
    }

    /**
     * Gives the slice table of a pool.
     *
     * @param pool name of the pool
     * @return the newest known table, of version 0 if none is known
     */
    public SliceTable table(String pool) {
        SliceTable table = tables.get(RecordNames.table(pool));
        return table == null ? SliceTable.empty(pool) : table;
    }

    /**
     * Tells which versions are known.
     *
     * @return version by store key
     */
    public RecordVersions versions() {
        Map<String, Long> versions = new HashMap<>();
        synchronized (encoded) {
            encoded.forEach((name, record) -> versions.put(name, record.version()));
        }
        return new RecordVersions(versions);
    }

    /**
     * Gives the version of a record.
     *
     * @param name store key of the record
     * @return the version, 0 if the record is not known
     */
    public long version(String name) {
        synchronized (encoded) {
            EncodedRecord record = encoded.get(name);
            return record == null ? 0 : record.version();
        }
    }

    /**
     * Gives the encoded form of a record.
     *
     * @param name store key of the record
     * @return the bytes, or empty if the record is not known
     */
    public Optional<byte[]> content(String name) {
        synchronized (encoded) {
            return Optional.ofNullable(encoded.get(name)).map(EncodedRecord::content);
        }
    }

    private boolean take(String name, byte[] content) {
        if (name.equals(RecordNames.CONFIGURATION)) {
            ConfigurationRevision revision = ConfigurationCodec.decodeRevision(content)
                    .getOrElseThrow(problem -> new IllegalArgumentException(problem));
            return replace(name, revision.revision(), content, () -> {
                configuration = Optional.of(revision);
                configurationSinceMillis = clock.nowMillis();
            });
        }
        if (name.equals(RecordNames.FLEET)) {
            FleetRecord record = RecordCodec.fleetRecord(content);
            return replace(name, record.epoch(), content, () -> fleet = record);
        }
        if (RecordNames.isTable(name)) {
            SliceTable table = RecordCodec.sliceTable(content);
            return replace(name, table.version(), content, () -> tables.put(name, table));
        }
        return false;
    }

    private boolean replace(String name, long version, byte[] content, Runnable assignment) {
        synchronized (encoded) {
            EncodedRecord known = encoded.get(name);
            if (known != null && known.version() >= version) {
                return false;
            }
            encoded.put(name, new EncodedRecord(version, content));
            assignment.run();
            return true;
        }
    }
}
