package org.snipewind.router.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreException.Kind;
import org.snipewind.router.port.StoreItem;

/** An in-memory store with leases that can be restored from an older copy; it knows revisions, but no positions. */
final class RestorableStore {

    /** A change; a removed item has no value. */
    record Event(String key, Optional<StoreItem> item, long revision) {}

    private record Lease(long lifetimeMillis, long expiresAtMillis) {}

    /** What the store contained at one time. */
    record Copy(
            Map<String, StoreItem> items,
            Map<Long, Long> leaseLifetimes,
            List<Event> history,
            long revision,
            long lease) {}

    private final MillisClock clock;
    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 10;
    private long nextLease = 100;
    private long era;
    private boolean unavailable;

    RestorableStore(MillisClock clock) {
        this.clock = clock;
    }

    long era() {
        return era;
    }

    long revision() {
        return revision;
    }

    List<StoreItem> items() {
        removeExpiredLeases();
        return List.copyOf(items.values());
    }

    Optional<StoreItem> item(String key) {
        removeExpiredLeases();
        return Optional.ofNullable(items.get(key));
    }

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    Copy copy() {
        removeExpiredLeases();
        Map<Long, Long> lifetimes = new HashMap<>();
        leases.forEach((id, lease) -> lifetimes.put(id, lease.lifetimeMillis()));
        return new Copy(Map.copyOf(items), lifetimes, List.copyOf(history), revision, nextLease);
    }

    /** Restores a copy. Its leases are lost, or begin anew. */
    void restore(Copy copy, boolean keepsLeases) {
        items.clear();
        items.putAll(copy.items());
        history.clear();
        history.addAll(copy.history());
        leases.clear();
        if (keepsLeases) {
            copy.leaseLifetimes()
                    .forEach((id, lifetime) -> leases.put(id, new Lease(lifetime, clock.nowMillis() + lifetime)));
        }
        items.values().removeIf(item -> item.lease() != 0 && !leases.containsKey(item.lease()));
        revision = copy.revision();
        nextLease = copy.lease();
        era++;
    }

    /** Returns the changes after a revision, or empty if the store does not have that revision. */
    Optional<List<Event>> changesAfter(long afterRevision) {
        removeExpiredLeases();
        return afterRevision > revision
                ? Optional.empty()
                : Optional.of(history.stream()
                        .filter(event -> event.revision() > afterRevision)
                        .toList());
    }

    void put(String key, byte[] value) {
        write(key, value, 0);
    }

    void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, Optional.empty(), revision));
        }
    }

    /** Writes an item whose revision is the expected one, and returns its new revision. */
    long commit(String key, long expectedRevision, byte[] value, long lease) {
        removeExpiredLeases();
        long current =
                Optional.ofNullable(items.get(key)).map(StoreItem::revision).orElse(0L);
        if (current != expectedRevision) {
            throw new StoreException(Kind.CONFLICT, key + " has revision " + current);
        }
        if (lease != 0 && !leases.containsKey(lease)) {
            throw new StoreException(Kind.LEASE_ENDED, "no lease " + lease);
        }
        write(key, value, lease);
        return revision;
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        StoreItem item = new StoreItem(key, value, revision, lease);
        items.put(key, item);
        history.add(new Event(key, Optional.of(item), revision));
    }

    long openLease(long lifetimeMillis) {
        nextLease++;
        leases.put(nextLease, new Lease(lifetimeMillis, clock.nowMillis() + lifetimeMillis));
        return nextLease;
    }

    void renewLease(long lease) {
        removeExpiredLeases();
        Lease renewed = leases.computeIfPresent(
                lease, (id, held) -> new Lease(held.lifetimeMillis(), clock.nowMillis() + held.lifetimeMillis()));
        if (renewed == null) {
            throw new StoreException(Kind.LEASE_ENDED, "no lease " + lease);
        }
    }

    void endLease(long lease) {
        leases.remove(lease);
        items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(StoreItem::key)
                .toList()
                .forEach(this::remove);
    }

    private void removeExpiredLeases() {
        leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMillis() <= clock.nowMillis())
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::endLease);
    }
}
