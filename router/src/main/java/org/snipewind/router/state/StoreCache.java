package org.snipewind.router.state;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;

/**
 * Local copy of the store's items, which never goes back to an earlier revision. The items are read once and then kept
 * current by a watch, or by the changes that the leader broadcasts. While the store is unreachable, newer snapshots of
 * peers are applied. Confined to the control event loop.
 */
public final class StoreCache {

    /**
     * Longest wait of one watch. The end of a watch confirms that the cache is complete. A watch that began while the
     * store withheld changes learns only at its end that the store has dropped history, and changes must arrive within
     * two seconds.
     */
    private static final long WATCH_TIMEOUT_MILLIS = 600;

    /** Pause between watches of the broadcasting instance, so that nearly simultaneous changes need one call. */
    private static final long BROADCASTER_COALESCE_MILLIS = 20;

    /**
     * Time for which a broadcast that confirmed the cache makes a watch unnecessary; changes must arrive within two
     * seconds.
     */
    private static final long BROADCAST_VALID_MILLIS = 1_200;

    /** Interval between checks whether another instance still broadcasts the changes, and this one need not do so. */
    private static final long BROADCAST_CHECK_INTERVAL_MILLIS = 300;

    /** Pause between watches, so that changes within this time need one call; each call has a cost. */
    private static final long COALESCE_MILLIS = 250;

    /** Retries are delayed at random by half to twice this time, so that instances do not call the store at once. */
    private static final long RETRY_DELAY_MILLIS = 250;

    /** The store counts as unreachable after this time without contact; several renewals of a lease fall into it. */
    private static final long UNREACHABLE_AFTER_MILLIS = 2_000;

    /** A cache that was not confirmed for this time, although the store responds, is reported; a watch takes less. */
    private static final long UNCONFIRMED_AFTER_MILLIS = 2_000;

    private final CoordinationStore store;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final CachedItems items;
    private boolean loaded;
    private final CacheConfirmations confirmations;
    private long lastContactMillis;
    private long reconnectedMillis = Long.MIN_VALUE / 2;
    private boolean unreachable;
    private boolean unreachableByAll;
    private boolean unconfirmed;
    private Optional<ScheduledFuture<?>> pausedWatch = Optional.empty();
    private BooleanSupplier isBroadcasting = () -> false;
    private ChangeForwarder changeForwarder = (fromRevision, toRevision, changes) -> {};

    /** Forwards the changes that this instance received from the store itself to the other instances. */
    @FunctionalInterface
    public interface ChangeForwarder {
        /**
         * Forwards changes.
         *
         * @param fromRevision revision after which the changes begin
         * @param toRevision revision up to which the changes are complete
         * @param changes the changes
         */
        void forward(long fromRevision, long toRevision, List<StoreChanges.Change> changes);
    }

    /**
     * Creates an empty cache.
     *
     * @param store the store
     * @param loop the control event loop
     * @param clock clock that measures the time since the last contact
     * @param log the event log
     * @param listener notified of changed items
     */
    public StoreCache(
            CoordinationStore store,
            EventLoop loop,
            MillisClock clock,
            RouterEventLog log,
            StoreCacheListener listener) {
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.items = new CachedItems(listener);
        this.confirmations = new CacheConfirmations(clock);
        this.lastContactMillis = clock.nowMillis();
    }

    /**
     * Sets the forwarder of changes to the other instances.
     *
     * @param broadcasting returns whether this instance broadcasts changes now
     * @param forwarder receives the changes while it does
     */
    public void setChangeForwarding(BooleanSupplier broadcasting, ChangeForwarder forwarder) {
        isBroadcasting = broadcasting;
        changeForwarder = forwarder;
    }

    /** Starts to read and watch the store. */
    public void start() {
        loop.execute(this::reload);
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "check of the contact with the store", this::checkContact),
                RETRY_DELAY_MILLIS,
                RETRY_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Records that the store has just responded to a call. */
    public void recordContact() {
        lastContactMillis = clock.nowMillis();
        if (unreachable) {
            unreachable = false;
            log.write(RouterEvent.STORE_REGAINED, () -> "revision=" + items.revision());
        }
        checkOutageEnd();
    }

    private void recordPeerConfirmation(CacheConfirmations.Source source, long ageMillis) {
        confirmations.record(source, clock.nowMillis() - ageMillis);
        checkOutageEnd();
    }

    /** The store serves again as soon as it has responded to any instance. */
    private void checkOutageEnd() {
        long age = ageMillis();
        if (unreachableByAll && age <= UNREACHABLE_AFTER_MILLIS) {
            unreachableByAll = false;
            reconnectedMillis = clock.nowMillis() - age;
        }
    }

    /**
     * Returns the time since the store last responded.
     *
     * @return milliseconds
     */
    public long contactAgeMillis() {
        return clock.nowMillis() - lastContactMillis;
    }

    /**
     * Returns the time since the store last responded to this instance, or confirmed the cache through a peer.
     *
     * @return milliseconds
     */
    public long ageMillis() {
        return Math.min(
                contactAgeMillis(),
                Math.min(
                        confirmations.ageMillis(CacheConfirmations.Source.BROADCAST),
                        confirmations.ageMillis(CacheConfirmations.Source.PEER)));
    }

    /**
     * Returns the time since the store became reachable again after an outage, in which it responded to no instance
     * that this one hears of.
     *
     * @return milliseconds, 0 during an outage, very large if there was none
     */
    public long reconnectAgeMillis() {
        return unreachableByAll ? 0 : clock.nowMillis() - reconnectedMillis;
    }

    /**
     * Returns the time since the store last confirmed to this instance that the cache was complete.
     *
     * @return milliseconds, very large if it never did
     */
    public long confirmationAgeMillis() {
        return confirmations.ageMillis(CacheConfirmations.Source.STORE);
    }

    /**
     * Describes how current the cache is.
     *
     * @return its revision, the time since it was last confirmed and by whom, and the time since the store responded
     */
    public String describe() {
        return "revision=" + items.revision() + " confirmed-by="
                + confirmations
                        .newestSource()
                        .map(CacheConfirmations.Source::wireName)
                        .orElse("none")
                + " confirmation-age="
                + (confirmations.newestSource().isPresent() ? confirmations.ageMillis() + "ms" : "none")
                + " contact-age=" + contactAgeMillis() + "ms";
    }

    /**
     * Returns the time since anyone confirmed that the cache was complete.
     *
     * @return milliseconds, very large if nobody ever did
     */
    public long newestConfirmationAgeMillis() {
        return confirmations.ageMillis();
    }

    /**
     * Returns whether the cache has ever been complete.
     *
     * @return true once all items were read from the store or received from a peer
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns the store revision up to which the cache is complete.
     *
     * @return the revision
     */
    public long revision() {
        return items.revision();
    }

    /**
     * Returns a cached item.
     *
     * @param key key of the item
     * @return the item, or empty if there is none
     */
    public Optional<StoreItem> item(String key) {
        return items.item(key);
    }

    /**
     * Returns all cached items.
     *
     * @return an immutable copy
     */
    public List<StoreItem> snapshot() {
        return items.snapshot();
    }

    /**
     * Applies an item as soon as it is known to be written, without waiting for the watch.
     *
     * @param item the written item with its revision
     */
    public void applyWrite(StoreItem item) {
        items.applyWrite(item);
    }

    /**
     * Applies the snapshot of a peer's cache if it is newer.
     *
     * @param peerRevision revision of the peer's cache
     * @param ageMillis age of the peer's cache, see {@link #ageMillis()}
     * @param peerItems all items of the peer's cache, empty if it is not newer
     */
    public void applyPeerSnapshot(long peerRevision, long ageMillis, List<StoreItem> peerItems) {
        recordPeerConfirmation(CacheConfirmations.Source.PEER, ageMillis);
        long previousRevision = items.revision();
        if (peerRevision <= previousRevision || peerItems.isEmpty()) {
            return;
        }
        log.write(RouterEvent.MIRROR_RELAYED, () -> "revision=" + peerRevision + " before=" + previousRevision);
        items.replaceAll(peerItems, peerRevision);
        loaded = true;
    }

    /**
     * Returns the changes since a revision.
     *
     * @param knownRevision the revision
     * @return the changes, empty if only the whole cache tells them
     */
    public Optional<StoreChanges> changesSince(long knownRevision) {
        return items.changesSince(knownRevision);
    }

    /**
     * Applies the difference to the newer cache of a peer.
     *
     * @param knownRevision revision of this cache when the peer was asked
     * @param peerRevision revision of the peer's cache
     * @param ageMillis age of the peer's cache, see {@link #ageMillis()}
     * @param changes the changes between the two revisions
     */
    public void applyPeerDifference(
            long knownRevision, long peerRevision, long ageMillis, List<StoreChanges.Change> changes) {
        if (!loaded || knownRevision > items.revision()) {
            return;
        }
        recordPeerConfirmation(CacheConfirmations.Source.PEER, ageMillis);
        items.applyChanges(new StoreChanges(changes, peerRevision));
    }

    /**
     * Applies changes that another instance received from the store. As long as they arrive without a gap, this
     * instance need not watch the store itself.
     *
     * @param fromRevision revision after which the changes begin
     * @param toRevision revision up to which the changes are complete
     * @param ageMillis time since the store confirmed that there were no later changes
     * @param changes the changes
     */
    public void applyPeerChanges(
            long fromRevision, long toRevision, long ageMillis, List<StoreChanges.Change> changes) {
        if (!loaded || fromRevision > items.revision()) {
            onPeerChangesMissed();
            return;
        }
        recordPeerConfirmation(CacheConfirmations.Source.BROADCAST, ageMillis);
        items.applyChanges(new StoreChanges(changes, toRevision));
    }

    /** Records that changes broadcast by another instance were missed, and resumes the watch to get them. */
    public void onPeerChangesMissed() {
        confirmations.forget(CacheConfirmations.Source.BROADCAST);
        if (pausedWatch.isPresent() && pausedWatch.get().cancel(false)) {
            pausedWatch = Optional.empty();
            watch();
        }
    }

    /**
     * Returns whether another instance broadcasts the changes to this one.
     *
     * @return true if this instance need not get them from the store or from peers
     */
    public boolean receivesBroadcasts() {
        return !isBroadcasting.getAsBoolean()
                && confirmations.ageMillis(CacheConfirmations.Source.BROADCAST) < BROADCAST_VALID_MILLIS;
    }

    private void checkContact() {
        if (!unreachable && contactAgeMillis() > UNREACHABLE_AFTER_MILLIS) {
            unreachable = true;
            log.write(RouterEvent.STORE_LOST, () -> "age=" + contactAgeMillis() + "ms revision=" + items.revision());
        }
        unreachableByAll |= ageMillis() > UNREACHABLE_AFTER_MILLIS;
        boolean silentlyOld = loaded
                && contactAgeMillis() <= UNREACHABLE_AFTER_MILLIS
                && confirmations.ageMillis() > UNCONFIRMED_AFTER_MILLIS;
        if (silentlyOld && !unconfirmed) {
            log.write(RouterEvent.MIRROR_UNCONFIRMED, this::describe);
        } else if (!silentlyOld && unconfirmed) {
            log.write(RouterEvent.MIRROR_CONFIRMED, this::describe);
        }
        unconfirmed = silentlyOld;
    }

    private void reload() {
        new GuardedTask(log, "read the store", this::startReading, () -> retry(this::reload)).run();
    }

    private void startReading() {
        readPages(new ArrayList<>(), Optional.empty(), -1).whenComplete((ignored, failure) -> {
            if (failure == null) {
                watch();
            } else {
                retry(this::reload);
            }
        });
    }

    private CompletableFuture<Void> readPages(List<StoreItem> read, Optional<String> after, long firstRevision) {
        return store.range("", after).thenCompose(page -> {
            recordContact();
            // The pages do not form a snapshot, so the watch starts at the revision of the first page and applies the
            // changes since then again.
            long fromRevision = firstRevision < 0 ? page.revision() : firstRevision;
            read.addAll(page.items());
            if (page.hasMore() && !page.items().isEmpty()) {
                return readPages(read, Optional.of(lastKey(page)), fromRevision);
            }
            if (fromRevision >= items.revision()) {
                items.replaceAll(read, fromRevision);
                loaded = true;
                confirmations.record(CacheConfirmations.Source.STORE, clock.nowMillis());
            }
            return CompletableFuture.completedFuture(null);
        });
    }

    private static String lastKey(StorePage page) {
        return page.items().get(page.items().size() - 1).key();
    }

    private void watch() {
        new GuardedTask(log, "watch the store", this::startWatch, () -> retry(this::watch)).run();
    }

    private void startWatch() {
        if (receivesBroadcasts()) {
            pausedWatch =
                    Optional.of(loop.schedule(this::watch, BROADCAST_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
            return;
        }
        pausedWatch = Optional.empty();
        long fromRevision = items.revision();
        store.watch("", fromRevision, WATCH_TIMEOUT_MILLIS)
                // The watch that failed begins again behind the items that it has applied.
                .whenComplete((changes, failure) -> new GuardedTask(
                                log,
                                "apply changes of the store",
                                () -> onWatchCompleted(fromRevision, changes, failure),
                                () -> retry(this::watch))
                        .run());
    }

    private void onWatchCompleted(long fromRevision, StoreChanges changes, Throwable failure) {
        if (failure == null) {
            recordContact();
            if (changes.revision() > newestRevision(changes, fromRevision)) {
                // Each revision is a change, so the watch did not return all changes up to its revision. Continuing
                // from there would lose them.
                log.write(
                        RouterEvent.MIRROR_RELOADED, () -> "revision=" + fromRevision + " store=" + changes.revision());
                reload();
                return;
            }
            items.applyChanges(changes);
            confirmations.record(CacheConfirmations.Source.STORE, clock.nowMillis());
            boolean broadcasting = isBroadcasting.getAsBoolean();
            if (broadcasting) {
                changeForwarder.forward(fromRevision, changes.revision(), changes.changes());
            }
            if (changes.changes().isEmpty()) {
                watch();
            } else {
                long delay = broadcasting ? BROADCASTER_COALESCE_MILLIS : COALESCE_MILLIS;
                loop.schedule(this::watch, delay, TimeUnit.MILLISECONDS);
            }
        } else if (StoreException.kindOf(failure) == StoreException.Kind.HISTORY_LOST) {
            recordContact();
            log.write(RouterEvent.MIRROR_RELOADED, () -> "revision=" + fromRevision);
            reload();
        } else {
            retry(this::watch);
        }
    }

    private static long newestRevision(StoreChanges changes, long fromRevision) {
        return changes.changes().stream()
                .mapToLong(change -> change.item().revision())
                .reduce(fromRevision, Math::max);
    }

    private void retry(Runnable task) {
        long delay = ThreadLocalRandom.current().nextLong(RETRY_DELAY_MILLIS / 2, RETRY_DELAY_MILLIS * 2);
        loop.schedule(task, delay, TimeUnit.MILLISECONDS);
    }
}
