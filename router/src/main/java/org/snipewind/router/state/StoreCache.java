package org.snipewind.router.state;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;

/**
 * Local copy of the store's items, which never goes back to an earlier revision. The items are read once and then kept
 * current by a watch, or by the changes that the leader broadcasts. While the store is unreachable, newer snapshots of
 * peers are applied. Confined to the control event loop.
 */
public final class StoreCache {

    /**
     * Time for which a broadcast that confirmed the cache makes a watch unnecessary; changes must arrive within two
     * seconds.
     */
    private static final long BROADCAST_VALID_MILLIS = 1_200;

    /** Interval between checks of the contact with the store. */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** The store counts as unreachable after this time without contact; several renewals of a lease fall into it. */
    private static final long UNREACHABLE_AFTER_MILLIS = 2_000;

    /** A cache that was not confirmed for this time, although the store responds, is reported; a watch takes less. */
    private static final long UNCONFIRMED_AFTER_MILLIS = 2_000;

    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final CachedItems items;
    private boolean loaded;
    private final CacheConfirmations confirmations;
    private final StoreFollower follower;
    private final StoreEras eras;
    private long lastContactMillis;
    private long reconnectedMillis = Long.MIN_VALUE / 2;
    private boolean unreachable;
    private boolean unreachableByAll;
    private boolean unconfirmed;
    private BooleanSupplier isBroadcasting = () -> false;
    private StoreChangeForwarder changeForwarder = (fromRevision, toRevision, changes) -> {};

    /** Applies what the calls of this instance return. */
    private final class CallResults implements StoreFollower.Receiver {
        @Override
        public void recordContact() {
            StoreCache.this.recordContact();
        }

        @Override
        public void itemsRead(List<StoreItem> read, long revision, boolean goesBack) {
            if (goesBack) {
                items.goBackTo(read, revision);
                confirmations.forgetAll();
            } else if (revision >= items.revision()) {
                items.replaceAll(read, revision);
            } else {
                // Changes that came meanwhile are newer than the read.
                return;
            }
            loaded = true;
            confirmations.record(CacheConfirmations.Source.STORE, clock.nowMillis());
        }

        @Override
        public void changesReceived(long fromRevision, StoreChanges changes) {
            items.applyChanges(changes);
            confirmations.record(CacheConfirmations.Source.STORE, clock.nowMillis());
            if (isBroadcasting.getAsBoolean()) {
                changeForwarder.forward(fromRevision, changes.revision(), changes.changes());
            }
        }
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
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.items = new CachedItems(new GuardedListener(listener, log));
        this.confirmations = new CacheConfirmations(clock);
        this.eras = new StoreEras(clock, log);
        store.setEraListener(this::onRestored);
        this.lastContactMillis = clock.nowMillis();
        this.follower = new StoreFollower(
                store,
                loop,
                clock,
                log,
                items,
                new CallResults(),
                this::receivesBroadcasts,
                this::isLoaded,
                this::isSilentlyOld);
    }

    /**
     * Sets the forwarder of changes to the other instances.
     *
     * @param broadcasting returns whether this instance broadcasts changes now
     * @param forwarder receives the changes while it does
     */
    public void setChangeForwarding(BooleanSupplier broadcasting, StoreChangeForwarder forwarder) {
        isBroadcasting = broadcasting;
        follower.setBroadcasting(broadcasting);
        changeForwarder = forwarder;
    }

    /** Reads the restored store at once, as broadcasts that confirm the cache may be of the earlier era. */
    private void onRestored(long era) {
        eras.recordFromStore(era);
        onPeerChangesMissed();
    }

    /** Starts to read and watch the store. */
    public void start() {
        follower.start();
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "check of the contact with the store", this::checkContact),
                CHECK_INTERVAL_MILLIS,
                CHECK_INTERVAL_MILLIS,
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

    /** The store serves again as soon as it has responded to any instance. */
    private void checkOutageEnd() {
        long age = storeResponseAgeMillis();
        if (unreachableByAll && age <= UNREACHABLE_AFTER_MILLIS) {
            unreachableByAll = false;
            reconnectedMillis = clock.nowMillis() - age;
        }
    }

    /** Returns the time since the last response of the store to any instance that is known to this one. */
    private long storeResponseAgeMillis() {
        return Math.min(contactAgeMillis(), confirmations.ageMillis());
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
     * Returns the time since anyone confirmed that the cache was complete: the store to this instance, the leader by a
     * broadcast, or a peer that was asked. Other responses of the store do not count, since they tell nothing about the
     * cache.
     *
     * @return milliseconds, very large if nobody ever did
     */
    public long ageMillis() {
        return confirmations.ageMillis();
    }

    /**
     * Returns how often the reads and watches of the store were started again because they had stalled.
     *
     * @return the number of restarts
     */
    public int restarts() {
        return follower.restarts();
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
     * Returns the eras of the store that this instance has learnt of.
     *
     * @return the eras
     */
    public StoreEras eras() {
        return eras;
    }

    /**
     * Returns whether the cache has been complete since the store was last restored from an older copy.
     *
     * @return false as long as it contains what the store may have lost
     */
    public boolean isOfPresentEra() {
        return StorePosition.eraOf(items.revision()) >= eras.era();
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
        eras.recordFromPeer(StorePosition.eraOf(item.revision()));
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
        recordPeerConfirmation(CacheConfirmations.Source.PEER, peerRevision, ageMillis);
        long previousRevision = items.revision();
        if (peerRevision <= previousRevision || peerItems.isEmpty()) {
            return;
        }
        log.write(RouterEvent.MIRROR_RELAYED, () -> "revision=" + peerRevision + " before=" + previousRevision);
        items.replaceAll(peerItems, peerRevision);
        loaded = true;
    }

    /** Records what another instance knows, unless it is behind this cache, whose later changes it can't confirm. */
    private void recordPeerConfirmation(CacheConfirmations.Source source, long peerRevision, long ageMillis) {
        eras.recordFromPeer(StorePosition.eraOf(peerRevision));
        if (peerRevision >= items.revision()) {
            confirmations.record(source, clock.nowMillis() - ageMillis);
            checkOutageEnd();
        }
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
        recordPeerConfirmation(CacheConfirmations.Source.PEER, peerRevision, ageMillis);
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
            eras.recordFromPeer(StorePosition.eraOf(fromRevision));
            onPeerChangesMissed();
            return;
        }
        recordPeerConfirmation(CacheConfirmations.Source.BROADCAST, toRevision, ageMillis);
        items.applyChanges(new StoreChanges(changes, toRevision));
    }

    /** Records that changes broadcast by another instance were missed, and resumes the watch to get them. */
    public void onPeerChangesMissed() {
        confirmations.forget(CacheConfirmations.Source.BROADCAST);
        follower.resumeWatch();
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

    /** Returns whether nobody confirms that the cache is complete, although the store responds to calls. */
    private boolean isSilentlyOld() {
        return loaded
                && contactAgeMillis() <= UNREACHABLE_AFTER_MILLIS
                && confirmations.ageMillis() > UNCONFIRMED_AFTER_MILLIS;
    }

    private void checkContact() {
        follower.restartIfStalled();
        if (!unreachable && contactAgeMillis() > UNREACHABLE_AFTER_MILLIS) {
            unreachable = true;
            log.write(RouterEvent.STORE_LOST, () -> "age=" + contactAgeMillis() + "ms revision=" + items.revision());
        }
        unreachableByAll |= storeResponseAgeMillis() > UNREACHABLE_AFTER_MILLIS;
        boolean silentlyOld = isSilentlyOld();
        if (silentlyOld && !unconfirmed) {
            log.write(RouterEvent.MIRROR_UNCONFIRMED, this::describe);
        } else if (!silentlyOld && unconfirmed) {
            log.write(RouterEvent.MIRROR_CONFIRMED, this::describe);
        }
        unconfirmed = silentlyOld;
    }
}
