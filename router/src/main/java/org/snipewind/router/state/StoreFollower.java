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
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;

/**
 * Follows the store by calls of this instance: all items are read once and the changes since then are watched, unless
 * another instance broadcasts them. Confined to the control event loop.
 */
final class StoreFollower {

    /**
     * Longest wait of one watch. The end of a watch confirms that the cache is complete. A watch that began while the
     * store withheld changes learns only at its end that the store has dropped history, and changes must arrive within
     * two seconds.
     */
    private static final long WATCH_TIMEOUT_MILLIS = 600;

    /** Pause between watches of the broadcasting instance, so that nearly simultaneous changes need one call. */
    private static final long BROADCASTER_COALESCE_MILLIS = 20;

    /** Interval between checks whether another instance still broadcasts the changes, and this one need not do so. */
    private static final long BROADCAST_CHECK_INTERVAL_MILLIS = 300;

    /** Pause between watches, so that changes within this time need one call; each call has a cost. */
    private static final long COALESCE_MILLIS = 250;

    /** Retries are delayed at random by half to twice this time, so that instances do not call the store at once. */
    private static final long RETRY_DELAY_MILLIS = 250;

    /** Longest time without a step of the calls; the longest step is a watch, which ends within 1.8 s. */
    private static final long STALLED_AFTER_MILLIS = 4_000;

    /** Takes what the calls return. */
    interface Receiver {
        /** Called when the store has responded. */
        void recordContact();

        /**
         * Called when all items were read.
         *
         * @param items the items
         * @param revision revision of the store when the read began
         * @param goesBack whether the cache is proved to be ahead of the store and must go back to these items
         */
        void itemsRead(List<StoreItem> items, long revision, boolean goesBack);

        /** Called when a watch returned the changes after a revision. */
        void changesReceived(long fromRevision, StoreChanges changes);
    }

    private final CoordinationStore store;
    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final CachedItems items;
    private final Receiver receiver;
    private final BooleanSupplier receivesBroadcasts;
    private final BooleanSupplier isLoaded;
    private final BooleanSupplier isSilentlyOld;
    private Optional<ScheduledFuture<?>> pausedWatch = Optional.empty();
    private BooleanSupplier isBroadcasting = () -> false;

    /** Number of the chain of calls; a chain that stalled is replaced, and what its calls return later is ignored. */
    private int chain;

    private long lastStepMillis;

    /** Whether the last read of all items was from before a revision that the cache had when the read began. */
    private boolean storeWasBehind;

    /** Whether the last watch or read of all items failed. */
    private boolean callsFail;

    /** Whether no watch has returned changes, or confirmed that there are none, since the last read of all items. */
    private boolean readWithoutWatch;

    StoreFollower(
            CoordinationStore store,
            EventLoop loop,
            MillisClock clock,
            RouterEventLog log,
            CachedItems items,
            Receiver receiver,
            BooleanSupplier receivesBroadcasts,
            BooleanSupplier isLoaded,
            BooleanSupplier isSilentlyOld) {
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.items = items;
        this.receiver = receiver;
        this.receivesBroadcasts = receivesBroadcasts;
        this.isLoaded = isLoaded;
        this.isSilentlyOld = isSilentlyOld;
    }

    /** Sets whether this instance broadcasts the changes, and so waits less between watches. */
    void setBroadcasting(BooleanSupplier broadcasting) {
        isBroadcasting = broadcasting;
    }

    /** Starts to read and watch the store. */
    void start() {
        lastStepMillis = clock.nowMillis();
        loop.execute(this::reload);
    }

    /** Starts the calls again if they have stalled, for whatever reason: a callback was lost, or a task refused. */
    void restartIfStalled() {
        long stalledMillis = clock.nowMillis() - lastStepMillis;
        if (stalledMillis <= STALLED_AFTER_MILLIS) {
            return;
        }
        chain++;
        log.write(
                RouterEvent.STORE_CALLS_RESTARTED,
                () -> "revision=" + items.revision() + " stalled=" + stalledMillis + "ms");
        pausedWatch.ifPresent(paused -> paused.cancel(false));
        pausedWatch = Optional.empty();
        if (isLoaded.getAsBoolean()) {
            watch();
        } else {
            reload();
        }
    }

    /** Returns how often the calls were started again because they had stalled. */
    int restarts() {
        return chain;
    }

    /** Schedules the next step of the current chain. */
    private ScheduledFuture<?> schedule(Runnable step, long delayMillis) {
        int scheduledChain = chain;
        return loop.schedule(
                () -> {
                    if (scheduledChain == chain) {
                        step.run();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Watches the store at once if a broadcast made that unnecessary. */
    void resumeWatch() {
        if (pausedWatch.isPresent() && pausedWatch.get().cancel(false)) {
            pausedWatch = Optional.empty();
            watch();
        }
    }

    private void reload() {
        lastStepMillis = clock.nowMillis();
        new GuardedTask(log, "read the store", this::startReading, () -> retry(this::reload)).run();
    }

    private void startReading() {
        long newestBefore = items.newestRevision();
        int readingChain = chain;
        readPages(new ArrayList<>(), Optional.empty(), -1, newestBefore).whenComplete((ignored, failure) -> {
            if (readingChain != chain) {
                return;
            }
            if (failure == null) {
                watch();
            } else {
                logFailure("read of all items", failure);
                retry(this::reload);
            }
        });
    }

    /**
     * Receives all items. The store's answers are linearizable and its revision only rises, so a read from before a
     * revision that was known when the read began proves that revision wrong. A second read must confirm it, since the
     * first one may be the late answer to an earlier call.
     */
    private void onAllRead(List<StoreItem> read, long fromRevision, long newestBefore) {
        boolean storeIsBehind = fromRevision < newestBefore;
        if (storeIsBehind) {
            log.write(
                    RouterEvent.MIRROR_AHEAD,
                    () -> "revision=" + items.revision() + " newest=" + newestBefore + " store=" + fromRevision
                            + " confirmed=" + storeWasBehind);
            if (!storeWasBehind) {
                storeWasBehind = true;
                throw new StoreException(StoreException.Kind.UNKNOWN, "the store is behind the cache");
            }
        }
        storeWasBehind = false;
        receiver.itemsRead(read, fromRevision, storeIsBehind);
    }

    private CompletableFuture<Void> readPages(
            List<StoreItem> read, Optional<String> after, long firstRevision, long newestBefore) {
        return store.range("", after).thenCompose(page -> {
            receiver.recordContact();
            lastStepMillis = clock.nowMillis();
            // The pages do not form a snapshot, so the watch starts at the revision of the first page and applies the
            // changes since then again.
            long fromRevision = firstRevision < 0 ? page.revision() : firstRevision;
            if (StorePosition.eraOf(page.revision()) != StorePosition.eraOf(fromRevision)) {
                throw new StoreException(StoreException.Kind.UNKNOWN, "the store was restored during the read");
            }
            read.addAll(page.items());
            if (page.unreadableItems() > 0) {
                log.write(
                        RouterEvent.ITEM_UNREADABLE,
                        () -> "key=unknown revision=" + page.revision() + " items=" + page.unreadableItems()
                                + " problem=no readable key or revision");
            }
            if (page.hasMore() && !page.items().isEmpty()) {
                return readPages(read, Optional.of(lastKey(page)), fromRevision, newestBefore);
            }
            onAllRead(read, fromRevision, newestBefore);
            return CompletableFuture.completedFuture(null);
        });
    }

    private static String lastKey(StorePage page) {
        return page.items().get(page.items().size() - 1).key();
    }

    private void watch() {
        lastStepMillis = clock.nowMillis();
        new GuardedTask(log, "watch the store", this::startWatch, () -> retry(this::watch)).run();
    }

    private void startWatch() {
        if (receivesBroadcasts.getAsBoolean()) {
            pausedWatch = Optional.of(schedule(this::watch, BROADCAST_CHECK_INTERVAL_MILLIS));
            return;
        }
        pausedWatch = Optional.empty();
        long fromRevision = items.revision();
        long newestBefore = items.newestRevision();
        int watchingChain = chain;
        store.watch("", fromRevision, WATCH_TIMEOUT_MILLIS)
                // The watch that failed begins again behind the items that it has applied.
                .whenComplete((changes, failure) -> {
                    if (watchingChain == chain) {
                        new GuardedTask(
                                        log,
                                        "apply changes of the store",
                                        () -> onWatchCompleted(fromRevision, newestBefore, changes, failure),
                                        () -> retry(this::watch))
                                .run();
                    }
                });
    }

    private void onWatchCompleted(long fromRevision, long newestBefore, StoreChanges changes, Throwable failure) {
        if (failure == null) {
            receiver.recordContact();
            if (changes.revision() < newestBefore
                    || StorePosition.isOfEarlierEra(changes.revision(), items.revision())) {
                // The cache is ahead of the store, or this is the answer to an earlier watch; a read of all items
                // tells.
                readAgain();
                return;
            }
            if (changes.unreadableChanges() > 0 || changes.revision() > newestRevision(changes, fromRevision)) {
                // Each revision is a change, so the watch did not return all changes up to its revision, or not all of
                // them could be read. Continuing from there would lose them.
                log.write(
                        RouterEvent.MIRROR_RELOADED,
                        () -> "revision=" + fromRevision + " store=" + changes.revision() + " unreadable-changes="
                                + changes.unreadableChanges());
                readAgain();
                return;
            }
            readWithoutWatch = false;
            callsFail = false;
            receiver.changesReceived(fromRevision, changes);
            if (changes.changes().isEmpty()) {
                watch();
            } else {
                long delay = isBroadcasting.getAsBoolean() ? BROADCASTER_COALESCE_MILLIS : COALESCE_MILLIS;
                schedule(this::watch, delay);
            }
        } else if (StoreException.kindOf(failure) == StoreException.Kind.HISTORY_LOST) {
            receiver.recordContact();
            log.write(RouterEvent.MIRROR_RELOADED, () -> "revision=" + fromRevision);
            readAgain();
        } else {
            logFailure("watch after=" + fromRevision, failure);
            // The changes since this revision may not be obtainable at all, as their answer may exceed the limit of an
            // answer; a page of items is limited by the store.
            retry(isSilentlyOld.getAsBoolean() ? this::reload : this::watch);
        }
    }

    /** Reads all items at once, but with a pause if the watch that followed the last such read needs it again. */
    private void readAgain() {
        if (readWithoutWatch) {
            retry(this::reload);
        } else {
            readWithoutWatch = true;
            reload();
        }
    }

    /** Logs the first failure of a series, and each one by which the cache stays old although the store responds. */
    private void logFailure(String call, Throwable failure) {
        boolean isFirst = !callsFail;
        callsFail = true;
        if (!isFirst && !isSilentlyOld.getAsBoolean()) {
            return;
        }
        log.write(RouterEvent.STORE_CALL_FAILED, () -> "call=" + call + " cause=" + failure.getMessage());
    }

    private static long newestRevision(StoreChanges changes, long fromRevision) {
        return changes.changes().stream()
                .mapToLong(change -> change.item().revision())
                .reduce(fromRevision, Math::max);
    }

    private void retry(Runnable task) {
        long delay = ThreadLocalRandom.current().nextLong(RETRY_DELAY_MILLIS / 2, RETRY_DELAY_MILLIS * 2);
        schedule(task, delay);
    }
}
