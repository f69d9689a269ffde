package org.snipewind.clients.configuration;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreException;
import org.snipewind.clients.store.SwapResult;
import org.snipewind.clients.store.VersionedValue;

/**
 * The accepted revisions of the configuration in the store.
 *
 * <p>The current revision is moved by compare-and-swap. Before it is replaced it is copied to the history, so every
 * writer of a history entry writes the same bytes, and a failed attempt leaves none. An entry that differs from the
 * revision that was current is replaced.
 */
public final class ConfigurationStore {

    /** Key of the current revision. */
    public static final String CURRENT_KEY = "configuration/current";
    /** Prefix of the keys of earlier revisions. */
    public static final String HISTORY_PREFIX = "configuration/history/";

    /** Limit of a value in the store. */
    private static final int SIZE_LIMIT = 1_000_000;

    private static final int ATTEMPTS = 6;
    private static final long FIRST_PAUSE_MILLIS = 100;
    /** Upper bound of one call, for a client that sets no limit of its own. */
    private static final long CALL_SECONDS = 10;

    private final KeyValueStore store;
    private final LongSupplier epochMillis;

    /**
     * Creates a view of the revisions.
     *
     * @param store the key-value service
     * @param epochMillis wall-clock time in milliseconds, for display only
     */
    public ConfigurationStore(KeyValueStore store, LongSupplier epochMillis) {
        this.store = store;
        this.epochMillis = epochMillis;
    }

    /**
     * Reads the current revision.
     *
     * @return the revision, or empty if none was ever accepted
     * @throws StoreException if the store does not answer or its value is not a revision
     */
    public Optional<ConfigurationRevision> current() {
        return await(store.get(CURRENT_KEY)).map(value -> decode(CURRENT_KEY, value));
    }

    /**
     * Reads a revision.
     *
     * @param revision number of the revision
     * @return the revision, or empty if there is none of that number
     * @throws StoreException if the store does not answer or its value is not a revision
     */
    public Optional<ConfigurationRevision> revision(long revision) {
        Optional<ConfigurationRevision> current = current();
        if (current.isEmpty() || revision > current.get().revision() || revision < 1) {
            return Optional.empty();
        }
        return current.get().revision() == revision ? current : archived(revision);
    }

    /**
     * Lists the newest revisions.
     *
     * @param limit how many to list at most
     * @return the revisions, newest first
     * @throws StoreException if the store does not answer or a value is not a revision
     */
    public List<ConfigurationRevision> history(int limit) {
        List<ConfigurationRevision> revisions = new ArrayList<>();
        current().ifPresent(current -> {
            revisions.add(current);
            for (long number = current.revision() - 1; number >= 1 && revisions.size() < limit; number--) {
                archived(number).ifPresent(revisions::add);
            }
        });
        return revisions;
    }

    /**
     * Accepts a configuration as the revision after the base.
     *
     * @param configuration the new configuration
     * @param baseRevision number of the revision that was edited, 0 if there was none
     * @param author who makes the change
     * @param note what the change is
     * @return the accepted revision, or why it is not known to be accepted
     */
    public Either<AcceptFailure, ConfigurationRevision> accept(
            FleetConfiguration configuration, long baseRevision, String author, String note) {
        ConfigurationRevision next = new ConfigurationRevision(
                baseRevision + 1, author, note, UUID.randomUUID().toString(), epochMillis.getAsLong(), configuration);
        byte[] content = ConfigurationCodec.encode(next);
        if (content.length > SIZE_LIMIT) {
            return Either.left(new AcceptFailure(
                    AcceptFailure.Kind.INVALID,
                    Optional.empty(),
                    "the configuration takes " + content.length + " bytes, the store keeps at most " + SIZE_LIMIT));
        }
        Optional<VersionedValue> current;
        try {
            current = await(store.get(CURRENT_KEY));
            Optional<ConfigurationRevision> base = current.map(value -> decode(CURRENT_KEY, value));
            if (base.map(ConfigurationRevision::revision).orElse(0L) != baseRevision) {
                return Either.left(conflict(baseRevision, base));
            }
            if (current.isPresent()) {
                archive(baseRevision, current.get().content());
            }
        } catch (StoreException failure) {
            return Either.left(new AcceptFailure(
                    AcceptFailure.Kind.UNREACHABLE, Optional.empty(), "nothing was changed: " + failure.getMessage()));
        }
        return swap(next, content, current.map(VersionedValue::version).orElse(0L));
    }

    /**
     * Accepts the content of an earlier revision as a new revision.
     *
     * @param revision number of the earlier revision
     * @param baseRevision number of the revision that is current
     * @param author who makes the change
     * @return the accepted revision, or why it is not known to be accepted
     */
    public Either<AcceptFailure, ConfigurationRevision> rollback(long revision, long baseRevision, String author) {
        Optional<ConfigurationRevision> earlier;
        try {
            earlier = revision(revision);
        } catch (StoreException failure) {
            return Either.left(new AcceptFailure(
                    AcceptFailure.Kind.UNREACHABLE, Optional.empty(), "nothing was changed: " + failure.getMessage()));
        }
        if (earlier.isEmpty()) {
            return Either.left(new AcceptFailure(
                    AcceptFailure.Kind.INVALID, Optional.empty(), "there is no revision " + revision));
        }
        return accept(earlier.get().configuration(), baseRevision, author, "rollback to revision " + revision);
    }

    /** Repeats the same swap until its outcome is certain; it can take effect only once, as it raises the version. */
    private Either<AcceptFailure, ConfigurationRevision> swap(
            ConfigurationRevision next, byte[] content, long expectedVersion) {
        String reason = "";
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            pause(attempt);
            try {
                SwapResult result = await(store.compareAndSwap(CURRENT_KEY, expectedVersion, content));
                return result.applied() ? Either.right(next) : settle(next);
            } catch (StoreException failure) {
                reason = failure.getMessage();
            }
        }
        return Either.left(new AcceptFailure(
                AcceptFailure.Kind.UNKNOWN,
                Optional.empty(),
                "it is not known whether revision " + next.revision() + " was accepted (" + reason
                        + "); read the history when the store answers"));
    }

    /** Finds out who wrote the revision, after a swap that failed or whose repetition failed. */
    private Either<AcceptFailure, ConfigurationRevision> settle(ConfigurationRevision next) {
        Optional<ConfigurationRevision> holder = revision(next.revision());
        if (holder.filter(revision -> revision.writer().equals(next.writer())).isPresent()) {
            return Either.right(next);
        }
        return Either.left(conflict(next.revision() - 1, holder));
    }

    private void archive(long revision, byte[] content) {
        String key = HISTORY_PREFIX + revision;
        if (await(store.compareAndSwap(key, 0, content)).applied()) {
            return;
        }
        Optional<VersionedValue> entry = await(store.get(key));
        if (entry.isPresent() && !Arrays.equals(entry.get().content(), content)) {
            // A lost race means that another writer archived the same revision, hence the same bytes.
            await(store.compareAndSwap(key, entry.get().version(), content));
        }
    }

    private Optional<ConfigurationRevision> archived(long revision) {
        String key = HISTORY_PREFIX + revision;
        return await(store.get(key)).map(value -> decode(key, value));
    }

    private static AcceptFailure conflict(long baseRevision, Optional<ConfigurationRevision> winner) {
        String detail = winner.map(revision -> "revision " + revision.revision() + " by " + revision.author() + " at "
                        + Instant.ofEpochMilli(revision.acceptedAtEpochMillis()) + " (" + revision.note()
                        + ") stands in place of base revision " + baseRevision)
                .orElse("the store has no revision, but the base is revision " + baseRevision);
        return new AcceptFailure(AcceptFailure.Kind.CONFLICT, winner, detail);
    }

    private static ConfigurationRevision decode(String key, VersionedValue value) {
        return ConfigurationCodec.decodeRevision(value.content())
                .getOrElseThrow(reason -> new StoreException(key + " does not hold a revision: " + reason, null));
    }

    private static void pause(int attempt) {
        if (attempt == 0) {
            return;
        }
        try {
            Thread.sleep(FIRST_PAUSE_MILLIS << (attempt - 1));
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return future.orTimeout(CALL_SECONDS, TimeUnit.SECONDS).join();
        } catch (CompletionException failure) {
            Throwable cause = failure.getCause();
            if (cause instanceof StoreException exception) {
                throw exception;
            }
            throw new StoreException("the store did not answer: " + cause, cause);
        }
    }
}
