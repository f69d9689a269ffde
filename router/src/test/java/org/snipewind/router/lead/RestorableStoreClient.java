package org.snipewind.router.lead;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.port.CoordinationStore;
import org.snipewind.router.port.EraTranslation;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreException;
import org.snipewind.router.port.StoreException.Kind;
import org.snipewind.router.port.StoreItem;
import org.snipewind.router.port.StorePage;
import org.snipewind.router.port.StoreWrite;

/** An instance's client of a {@link RestorableStore}, whose calls take time and may be lost on either way. */
final class RestorableStoreClient implements CoordinationStore {

    /** Time after which a call without a response fails. */
    private static final long TIMEOUT_MILLIS = 1_200;

    private static final int MAX_WAY_MILLIS = 8;

    /** Interval in which a waiting watch looks for changes. */
    private static final long WATCH_STEP_MILLIS = 20;

    private record Response<T>(long era, T content, Optional<StoreException> failure) {}

    private final RestorableStore store;
    private final EventLoop loop;
    private final Random random;
    private final EraTranslation eras = new EraTranslation();
    private boolean cut;
    private boolean readsCut;
    private double lostFraction;
    private boolean endsOfLeasesUnanswered;

    RestorableStoreClient(RestorableStore store, EventLoop loop, Random random) {
        this.store = store;
        this.loop = loop;
        this.random = random;
    }

    /** Sets whether no call reaches the store. */
    void setCut(boolean isCut) {
        cut = isCut;
    }

    /** Sets whether reads and watches get no response, while other calls do. */
    void setReadsCut(boolean areCut) {
        readsCut = areCut;
    }

    /** Sets whether leases are ended without a response. */
    void setEndsOfLeasesUnanswered(boolean areUnanswered) {
        endsOfLeasesUnanswered = areUnanswered;
    }

    /** Sets the fraction of the calls that are lost on the way there, and of those whose responses are. */
    void setLostFraction(double fraction) {
        lostFraction = fraction;
    }

    @Override
    public void setEraListener(LongConsumer listener) {
        eras.setListener(listener);
    }

    @Override
    public CompletableFuture<StorePage> range(String prefix, Optional<String> after) {
        if (readsCut) {
            return new CompletableFuture<>();
        }
        return call(() -> respond(() -> new StorePage(store.items(), false, store.revision())), response -> {
            List<StoreItem> items = response.content().items().stream()
                    .filter(item -> item.key().startsWith(prefix))
                    .map(item -> atPosition(response.era(), item))
                    .toList();
            return new StorePage(
                    items,
                    false,
                    StorePosition.of(response.era(), response.content().revision()));
        });
    }

    private static StoreItem atPosition(long era, StoreItem item) {
        return new StoreItem(item.key(), item.value(), StorePosition.of(era, item.revision()), item.lease());
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        if (readsCut) {
            return new CompletableFuture<>();
        }
        Optional<StoreException> outdated = eras.checkWatch(afterRevision);
        if (outdated.isPresent()) {
            return CompletableFuture.failedFuture(outdated.get());
        }
        CompletableFuture<StoreChanges> changes = new CompletableFuture<>();
        watchStep(afterRevision, waitMillis, changes);
        return changes;
    }

    private void watchStep(long afterPosition, long waitMillis, CompletableFuture<StoreChanges> result) {
        long afterRevision = StorePosition.revisionOf(afterPosition);
        call(
                        () -> respond(() -> {
                            List<RestorableStore.Event> events = store.changesAfter(afterRevision)
                                    .orElseThrow(() -> new StoreException(Kind.HISTORY_LOST, "no such revision"));
                            List<StoreChanges.Change> changes = events.stream()
                                    .map(RestorableStoreClient::toChange)
                                    .toList();
                            return new StoreChanges(changes, store.revision());
                        }),
                        response -> {
                            Optional<StoreException> lost = eras.checkWatch(afterPosition, response.era());
                            if (lost.isPresent()) {
                                throw lost.get();
                            }
                            List<StoreChanges.Change> changes = response.content().changes().stream()
                                    .map(change -> new StoreChanges.Change(
                                            atPosition(response.era(), change.item()), change.removed()))
                                    .toList();
                            return new StoreChanges(
                                    changes,
                                    StorePosition.of(
                                            response.era(), response.content().revision()));
                        })
                .whenComplete((changes, failure) -> {
                    if (failure != null) {
                        result.completeExceptionally(failure);
                    } else if (!changes.changes().isEmpty() || waitMillis <= 0) {
                        result.complete(changes);
                    } else {
                        loop.schedule(
                                () -> watchStep(afterPosition, waitMillis - WATCH_STEP_MILLIS, result),
                                WATCH_STEP_MILLIS,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    private static StoreChanges.Change toChange(RestorableStore.Event event) {
        return new StoreChanges.Change(
                event.item().orElseGet(() -> new StoreItem(event.key(), new byte[0], event.revision(), 0)),
                event.item().isEmpty());
    }

    @Override
    public CompletableFuture<Long> commit(List<StoreWrite> writes) {
        Optional<StoreException> outdated = eras.checkCommit(writes);
        if (outdated.isPresent()) {
            return CompletableFuture.failedFuture(outdated.get());
        }
        StoreWrite write = writes.get(0);
        return call(
                () -> respond(() -> store.commit(
                        write.key(), StorePosition.revisionOf(write.expectedRevision()), write.value(), write.lease())),
                response -> {
                    Optional<StoreException> unknown = eras.checkCommitted(writes, response.era());
                    if (unknown.isPresent()) {
                        throw unknown.get();
                    }
                    return StorePosition.of(response.era(), response.content());
                });
    }

    @Override
    public CompletableFuture<Long> openLease(long lifetimeMillis) {
        return call(() -> respond(() -> store.openLease(lifetimeMillis)), response -> {
            eras.recordLease(response.content(), response.era());
            return response.content();
        });
    }

    @Override
    public CompletableFuture<Void> renewLease(long lease) {
        Optional<StoreException> outdated = eras.checkLease(lease);
        if (outdated.isPresent()) {
            return CompletableFuture.failedFuture(outdated.get());
        }
        return call(
                () -> respond(() -> {
                    store.renewLease(lease);
                    return true;
                }),
                response -> {
                    Optional<StoreException> other = eras.checkLease(lease);
                    if (other.isPresent()) {
                        throw other.get();
                    }
                    return null;
                });
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        if (eras.checkLease(lease).isPresent()) {
            return CompletableFuture.completedFuture(null);
        }
        return call(
                () -> respond(() -> {
                    store.endLease(lease);
                    return true;
                }),
                response -> {
                    if (endsOfLeasesUnanswered) {
                        throw new StoreException(Kind.UNKNOWN, "no response");
                    }
                    return null;
                });
    }

    /** Carries a call out in the store and records the era in which that was. */
    private <T> Response<T> respond(Supplier<T> action) {
        if (store.isUnavailable()) {
            return new Response<>(store.era(), null, Optional.of(new StoreException(Kind.REFUSED, "unavailable")));
        }
        try {
            return new Response<>(store.era(), action.get(), Optional.empty());
        } catch (StoreException e) {
            return new Response<>(store.era(), null, Optional.of(e));
        }
    }

    private <T, R> CompletableFuture<R> call(Supplier<Response<T>> action, Function<Response<T>, R> reader) {
        CompletableFuture<R> result = new CompletableFuture<>();
        loop.schedule(
                () -> result.completeExceptionally(new StoreException(Kind.UNKNOWN, "no response")),
                TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        schedule(() -> {
            if (cut || random.nextDouble() < lostFraction) {
                return;
            }
            Response<T> response = action.get();
            schedule(() -> {
                if (!cut && random.nextDouble() >= lostFraction) {
                    receive(response, reader, result);
                }
            });
        });
        return result;
    }

    private <T, R> void receive(Response<T> response, Function<Response<T>, R> reader, CompletableFuture<R> result) {
        try {
            eras.acceptResponse(OptionalLong.of(response.era()));
            if (response.failure().isPresent()) {
                throw response.failure().get();
            }
            result.complete(reader.apply(response));
        } catch (StoreException e) {
            result.completeExceptionally(e);
        }
    }

    private void schedule(Runnable step) {
        loop.schedule(step, 1 + random.nextInt(MAX_WAY_MILLIS), TimeUnit.MILLISECONDS);
    }
}
