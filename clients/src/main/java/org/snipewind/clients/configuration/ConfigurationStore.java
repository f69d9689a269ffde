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
 * Reads and writes the accepted revisions of the configuration in the store.
 *
 * <p>The current revision is replaced by compare-and-swap. Before that it is copied to the history, so all writers of a
 * history entry write the same bytes, and a change that is not accepted adds no entry for itself. A history entry that
 * differs from the revision that was current is replaced.
 */
public final class ConfigurationStore {

    /** Key of the current revision. */
    public static final String CURRENT_KEY = "configuration/current";
    /** Prefix of the keys of earlier revisions. */
    public static final String HISTORY_PREFIX = "configuration/history/";

    /** Maximum size of a value in the store. */
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private static final int MAX_ATTEMPTS = 6;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;
    /** Timeout of one call, for a store client that has none of its own. */
    private static final long CALL_TIMEOUT_SECONDS = 10;

    private final KeyValueStore store;
    private final LongSupplier epochMillis;

    /**
     * Creates an object that accesses the revisions in a store.
     *
     * @param store the key-value store
     * @param epochMillis supplies the wall-clock time in milliseconds since the epoch, for display only
     */
    public ConfigurationStore(KeyValueStore store, LongSupplier epochMillis) {
        this.store = store;
        this.epochMillis = epochMillis;
    }

    /**
     * Reads the current revision.
     *
     * @return the revision, or empty if none was ever accepted
     * @throws StoreException if the store does not respond or its value is not a revision
     */
    public Optional<ConfigurationRevision> current() {
        return await(store.get(CURRENT_KEY)).map(value -> decode(CURRENT_KEY, value));
    }

    /**
     * Reads a revision.
     *
     * @param revision number of the revision
     * @return the revision, or empty if there is none with that number
     * @throws StoreException if the store does not respond or its value is not a revision
     */
    public Optional<ConfigurationRevision> revision(long revision) {
        Optional<ConfigurationRevision> current = current();
        if (current.isEmpty() || revision > current.get().revision() || revision < 1) {
            return Optional.empty();
        }
        return current.get().revision() == revision ? current : readArchived(revision);
    }

    /**
     * Lists the newest revisions.
     *
     * @param limit maximum number of revisions
     * @return the revisions, newest first
     * @throws StoreException if the store does not respond or a value is not a revision
     */
    public List<ConfigurationRevision> history(int limit) {
        List<ConfigurationRevision> revisions = new ArrayList<>();
        current().ifPresent(current -> {
            revisions.add(current);
            for (long number = current.revision() - 1; number >= 1 && revisions.size() < limit; number--) {
                readArchived(number).ifPresent(revisions::add);
            }
        });
        return revisions;
    }

    /**
     * Accepts a configuration as the revision that follows the base revision.
     *
     * @param configuration the new configuration
     * @param baseRevision number of the revision that was edited, 0 if there was none
     * @param author who makes the change
     * @param note description of the change
     * @return the accepted revision, or the reason why it is not known to be accepted
     */
    public Either<AcceptFailure, ConfigurationRevision> accept(
            FleetConfiguration configuration, long baseRevision, String author, String note) {
        ConfigurationRevision next = new ConfigurationRevision(
                baseRevision + 1, author, note, UUID.randomUUID().toString(), epochMillis.getAsLong(), configuration);
        byte[] content = ConfigurationCodec.encode(next);
        if (content.length > MAX_VALUE_BYTES) {
            return Either.left(new AcceptFailure(
                    AcceptFailure.Kind.INVALID,
                    Optional.empty(),
                    "the configuration takes " + content.length + " bytes, the store keeps at most "
                            + MAX_VALUE_BYTES));
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
     * Accepts the configuration of an earlier revision as a new revision.
     *
     * @param revision number of the earlier revision
     * @param baseRevision number of the current revision
     * @param author who makes the change
     * @return the accepted revision, or the reason why it is not known to be accepted
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

    /** Retries the same swap until its outcome is known; it increases the version, so it can take effect only once. */
    private Either<AcceptFailure, ConfigurationRevision> swap(
            ConfigurationRevision next, byte[] content, long expectedVersion) {
        String reason = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            sleepBeforeRetry(attempt);
            try {
                SwapResult result = await(store.compareAndSwap(CURRENT_KEY, expectedVersion, content));
                return result.applied() ? Either.right(next) : determineOutcome(next);
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

    /** Determines whether this change wrote the revision, after a swap or its retry was not applied. */
    private Either<AcceptFailure, ConfigurationRevision> determineOutcome(ConfigurationRevision next) {
        Optional<ConfigurationRevision> stored = revision(next.revision());
        if (stored.filter(revision -> revision.writer().equals(next.writer())).isPresent()) {
            return Either.right(next);
        }
        return Either.left(conflict(next.revision() - 1, stored));
    }

    private void archive(long revision, byte[] content) {
        String key = HISTORY_PREFIX + revision;
        if (await(store.compareAndSwap(key, 0, content)).applied()) {
            return;
        }
        Optional<VersionedValue> entry = await(store.get(key));
        if (entry.isPresent() && !Arrays.equals(entry.get().content(), content)) {
            // If this swap is not applied, another writer has archived the same revision, and so the same bytes.
            await(store.compareAndSwap(key, entry.get().version(), content));
        }
    }

    private Optional<ConfigurationRevision> readArchived(long revision) {
        String key = HISTORY_PREFIX + revision;
        return await(store.get(key)).map(value -> decode(key, value));
    }

    private static AcceptFailure conflict(long baseRevision, Optional<ConfigurationRevision> conflicting) {
        String detail = conflicting
                .map(revision -> "revision " + revision.revision() + " by " + revision.author() + " at "
                        + Instant.ofEpochMilli(revision.acceptedAtEpochMillis()) + " (" + revision.note()
                        + ") stands in place of base revision " + baseRevision)
                .orElse("the store has no revision, but the base is revision " + baseRevision);
        return new AcceptFailure(AcceptFailure.Kind.CONFLICT, conflicting, detail);
    }

    private static ConfigurationRevision decode(String key, VersionedValue value) {
        return ConfigurationCodec.decodeRevision(value.content())
                .getOrElseThrow(reason -> new StoreException(key + " does not hold a revision: " + reason, null));
    }

    private static void sleepBeforeRetry(int attempt) {
        if (attempt == 0) {
            return;
        }
        try {
            Thread.sleep(INITIAL_RETRY_DELAY_MILLIS << (attempt - 1));
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return future.orTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
        } catch (CompletionException failure) {
            Throwable cause = failure.getCause();
            if (cause instanceof StoreException exception) {
                throw exception;
            }
            throw new StoreException("the store did not respond: " + cause, cause);
        }
    }
}
