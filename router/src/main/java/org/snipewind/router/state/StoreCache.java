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
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;

/**
 * A copy of the store that only moves forward. It is read once and then kept up by a watch; while the store can't be
 * reached, newer copies of peers are adopted. All state belongs to the control loop.
 */
public final class StoreCache {

    /**
     * Longest wait of one watch. Its end confirms that the copy is complete. A watch that began while the store was
     * silent learns only at its end that history was dropped, and changes are due within two seconds.
     */
    private static final long WATCH_MILLIS = 600;

    /** Pause of the instance that feeds the others, so that changes of one moment come with one call. */
    private static final long FEEDING_COALESCE_MILLIS = 20;

    /** A copy that another instance confirmed within this time needs no watch; changes are due within two seconds. */
    private static final long FED_MILLIS = 1_200;

    /** Time between looks at whether the changes still come from another instance, and are not due from this one. */
    private static final long FED_CHECK_MILLIS = 300;

    /** Changes that follow each other within this time come with one call; each call has a price. */
    private static final long COALESCE_MILLIS = 250;

    /** Retries are spread over this time, so that instances do not return to the store at once. */
    private static final long RETRY_MILLIS = 250;

    /** Without contact for this time, the store counts as lost; several renewals of a lease fall into it. */
    private static final long LOST_MILLIS = 2_000;

    private final CoordinationStore store;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final CachedItems copy;
    private boolean loaded;
    private long contactMillis;
    private long relayMillis;
    private long regainedMillis = Long.MIN_VALUE / 2;
    private boolean lost;
    private long completeMillis;
    private long fedMillis = Long.MIN_VALUE / 2;
    private Optional<ScheduledFuture<?>> pausedWatch = Optional.empty();
    private BooleanSupplier feeding = () -> false;
    private ChangeForwarder feed = (from, to, changes) -> {};

    /** Gets the changes that this instance learned from the store itself. */
    @FunctionalInterface
    public interface ChangeForwarder {
        /**
         * Takes changes.
         *
         * @param fromRevision revision after which they begin
         * @param toRevision revision up to which they are complete
         * @param changes the changes
         */
        void changed(long fromRevision, long toRevision, List<StoreChanges.Change> changes);
    }

    /**
     * Creates an empty copy.
     *
     * @param store the store
     * @param loop the control loop
     * @param clock the clock of contacts
     * @param log the log
     * @param listener gets the changes
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
        this.copy = new CachedItems(listener);
        this.contactMillis = clock.nowMillis();
        this.relayMillis = contactMillis - LOST_MILLIS;
    }

    /**
     * Sets who passes changes on to the other instances.
     *
     * @param isFeeding tells whether this instance feeds the others now
     * @param receiver gets the changes meanwhile
     */
    public void setChangeForwarding(BooleanSupplier isFeeding, ChangeForwarder receiver) {
        feeding = isFeeding;
        feed = receiver;
    }

    /** Starts to read the store. */
    public void start() {
        loop.execute(this::reload);
        loop.scheduleAtFixedRate(this::checkContact, RETRY_MILLIS, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Notes that the store answered any call. */
    public void recordContact() {
        contactMillis = clock.nowMillis();
        if (lost) {
            lost = false;
            regainedMillis = contactMillis;
            log.write(RouterEvent.STORE_REGAINED, () -> "revision=" + copy.revision());
        }
    }

    /**
     * Tells how long the store has not answered.
     *
     * @return milliseconds
     */
    public long contactAgeMillis() {
        return clock.nowMillis() - contactMillis;
    }

    /**
     * Tells how old the copy may be, counting what peers know.
     *
     * @return milliseconds
     */
    public long ageMillis() {
        return clock.nowMillis() - Math.max(contactMillis, relayMillis);
    }

    /**
     * Tells how long ago the store came back after it was lost.
     *
     * @return milliseconds, 0 while it is lost, very large if it was never lost
     */
    public long reconnectAgeMillis() {
        return lost ? 0 : clock.nowMillis() - regainedMillis;
    }

    /**
     * Tells how long ago the store confirmed to this instance that its copy was complete.
     *
     * @return milliseconds
     */
    public long confirmationAgeMillis() {
        return clock.nowMillis() - completeMillis;
    }

    /**
     * Tells whether the copy was ever complete.
     *
     * @return true once it was read
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Gives the revision of the copy.
     *
     * @return the revision
     */
    public long revision() {
        return copy.revision();
    }

    /**
     * Finds an item.
     *
     * @param key key of the item
     * @return the item, or empty
     */
    public Optional<StoreItem> item(String key) {
        return copy.item(key);
    }

    /**
     * Lists all items.
     *
     * @return a copy of the list
     */
    public List<StoreItem> snapshot() {
        return copy.snapshot();
    }

    /**
     * Takes an item from the instance that wrote it, without waiting for the watch.
     *
     * @param item the item with its revision
     */
    public void applyWrite(StoreItem item) {
        copy.write(item);
    }

    /**
     * Adopts the copy of a peer if it is newer.
     *
     * @param peerRevision revision of the peer's copy
     * @param ageMillis how old the peer's copy may be
     * @param peerItems all items of the peer's copy, if it is newer
     */
    public void applyPeerSnapshot(long peerRevision, long ageMillis, List<StoreItem> peerItems) {
        relayMillis = Math.max(relayMillis, clock.nowMillis() - ageMillis);
        long before = copy.revision();
        if (peerRevision <= before || peerItems.isEmpty()) {
            return;
        }
        log.write(RouterEvent.MIRROR_RELAYED, () -> "revision=" + peerRevision + " before=" + before);
        copy.replaceAll(peerItems, peerRevision);
        loaded = true;
    }

    /**
     * Takes changes that another instance learned from the store. While they come without a gap, this instance need not
     * watch the store itself.
     *
     * @param from revision after which they begin
     * @param to revision up to which they are complete
     * @param ageMillis how long ago the store confirmed that there were no later ones
     * @param changes the changes
     */
    public void applyPeerChanges(long from, long to, long ageMillis, List<StoreChanges.Change> changes) {
        if (!loaded || from > copy.revision()) {
            onPeerChangesMissed();
            return;
        }
        long confirmed = clock.nowMillis() - ageMillis;
        fedMillis = Math.max(fedMillis, confirmed);
        relayMillis = Math.max(relayMillis, confirmed);
        copy.applyAll(new StoreChanges(changes, to));
    }

    /** Notes that changes of another instance are missing, so that the own watch brings them. */
    public void onPeerChangesMissed() {
        fedMillis = Long.MIN_VALUE / 2;
        if (pausedWatch.isPresent() && pausedWatch.get().cancel(false)) {
            pausedWatch = Optional.empty();
            watch();
        }
    }

    private boolean isFed() {
        return !feeding.getAsBoolean() && clock.nowMillis() - fedMillis < FED_MILLIS;
    }

    private void checkContact() {
        if (!lost && contactAgeMillis() > LOST_MILLIS) {
            lost = true;
            log.write(RouterEvent.STORE_LOST, () -> "age=" + contactAgeMillis() + "ms revision=" + copy.revision());
        }
    }

    private void reload() {
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
            // Pages are no snapshot: changes since the first page are applied again by the watch.
            long from = firstRevision < 0 ? page.revision() : firstRevision;
            read.addAll(page.items());
            if (page.hasMore() && !page.items().isEmpty()) {
                return readPages(read, Optional.of(lastKey(page)), from);
            }
            if (from >= copy.revision()) {
                copy.replaceAll(read, from);
                loaded = true;
                completeMillis = clock.nowMillis();
            }
            return CompletableFuture.completedFuture(null);
        });
    }

    private static String lastKey(StorePage page) {
        return page.items().get(page.items().size() - 1).key();
    }

    private void watch() {
        if (isFed()) {
            pausedWatch = Optional.of(loop.schedule(this::watch, FED_CHECK_MILLIS, TimeUnit.MILLISECONDS));
            return;
        }
        pausedWatch = Optional.empty();
        long from = copy.revision();
        store.watch("", from, WATCH_MILLIS).whenComplete((changes, failure) -> {
            if (failure == null) {
                recordContact();
                if (changes.revision() > newestRevision(changes, from)) {
                    // Each revision is a change, so the watch did not tell of all; going on from there would lose them.
                    log.write(RouterEvent.MIRROR_RELOADED, () -> "revision=" + from + " store=" + changes.revision());
                    reload();
                    return;
                }
                copy.applyAll(changes);
                completeMillis = clock.nowMillis();
                boolean feedsOthers = feeding.getAsBoolean();
                if (feedsOthers) {
                    feed.changed(from, changes.revision(), changes.changes());
                }
                if (changes.changes().isEmpty()) {
                    watch();
                } else {
                    long pause = feedsOthers ? FEEDING_COALESCE_MILLIS : COALESCE_MILLIS;
                    loop.schedule(this::watch, pause, TimeUnit.MILLISECONDS);
                }
            } else if (StoreException.kindOf(failure) == StoreException.Kind.HISTORY_LOST) {
                recordContact();
                log.write(RouterEvent.MIRROR_RELOADED, () -> "revision=" + from);
                reload();
            } else {
                retry(this::watch);
            }
        });
    }

    private static long newestRevision(StoreChanges changes, long from) {
        return changes.changes().stream()
                .mapToLong(change -> change.item().revision())
                .reduce(from, Math::max);
    }

    private void retry(Runnable task) {
        long delay = ThreadLocalRandom.current().nextLong(RETRY_MILLIS / 2, RETRY_MILLIS * 2);
        loop.schedule(task, delay, TimeUnit.MILLISECONDS);
    }
}
