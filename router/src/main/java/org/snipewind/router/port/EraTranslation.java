package org.snipewind.router.port;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.snipewind.coordination.restore.StorePosition;
import org.snipewind.router.port.StoreException.Kind;

/**
 * The era of a store as a client of it knows it from the responses, and the checks that keep revisions and leases of an
 * earlier era from being used in a later one, where the same numbers mean something else. Not thread-safe.
 */
public final class EraTranslation {

    /** The era in which each lease was opened by this client. */
    private final Map<Long, Long> leaseEras = new HashMap<>();

    private LongConsumer listener = era -> {};
    private long era;

    /**
     * Sets the listener for changes of the era.
     *
     * @param newListener receives the new era, before the response that told it is processed
     */
    public void setListener(LongConsumer newListener) {
        listener = newListener;
    }

    /**
     * Records the era of a response.
     *
     * @param responseEra era that the response states; without one, it belongs to the era that was last seen
     * @return era of the response
     * @throws StoreException if the response is a late one of an earlier era, or its era is out of range
     */
    public long acceptResponse(OptionalLong responseEra) {
        long received = responseEra.orElse(era);
        if (received < era || received > StorePosition.MAX_ERA) {
            throw new StoreException(Kind.UNKNOWN, "response of era " + received + " in era " + era);
        }
        if (received > era) {
            era = received;
            listener.accept(era);
        }
        return received;
    }

    /**
     * Checks whether a watch may be sent, or its response be used.
     *
     * @param afterPosition position after which the watch begins
     * @param present the present era, or that of the response
     * @return the failure if the changes since that position are unknown
     */
    public Optional<StoreException> checkWatch(long afterPosition, long present) {
        return StorePosition.eraOf(afterPosition) == present
                ? Optional.empty()
                : failure(Kind.HISTORY_LOST, "watch after", StorePosition.eraOf(afterPosition), present);
    }

    /**
     * Checks whether a watch may be sent. One from a later era than this client has seen may be: another instance may
     * have learnt that era first.
     *
     * @param afterPosition position after which the watch begins
     * @return the failure if the store was restored since
     */
    public Optional<StoreException> checkWatch(long afterPosition) {
        return StorePosition.eraOf(afterPosition) > era ? Optional.empty() : checkWatch(afterPosition, era);
    }

    /**
     * Checks whether writes may be sent.
     *
     * @param writes the writes
     * @return the failure if a condition was read, or a lease opened, in an earlier era
     */
    public Optional<StoreException> checkCommit(List<StoreWrite> writes) {
        for (StoreWrite write : writes) {
            long conditionEra = StorePosition.eraOf(write.expectedRevision());
            if (write.expectedRevision() != 0 && conditionEra < era) {
                return failure(Kind.CONFLICT, "condition on " + write.key(), conditionEra, era);
            }
        }
        return writes.stream()
                .map(write -> checkLease(write.lease()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /**
     * Checks the era of the response to writes. The store may have been restored while they were on their way, and the
     * numbers in their conditions may then have matched by chance.
     *
     * @param writes the writes
     * @param responseEra era of the response
     * @return the failure if the outcome must be read from the store
     */
    public Optional<StoreException> checkCommitted(List<StoreWrite> writes, long responseEra) {
        for (StoreWrite write : writes) {
            long conditionEra = StorePosition.eraOf(write.expectedRevision());
            if (write.expectedRevision() != 0 && conditionEra != responseEra) {
                return failure(Kind.UNKNOWN, "condition on " + write.key(), conditionEra, responseEra);
            }
            Long leaseEra = leaseEras.get(write.lease());
            if (leaseEra != null && leaseEra != responseEra) {
                return failure(Kind.UNKNOWN, "lease of " + write.key(), leaseEra, responseEra);
            }
        }
        return Optional.empty();
    }

    /**
     * Records a lease that was opened.
     *
     * @param lease number of the lease
     * @param responseEra era of the response that named it
     */
    public void recordLease(long lease, long responseEra) {
        leaseEras.put(lease, responseEra);
    }

    /**
     * Forgets a lease that has ended.
     *
     * @param lease number of the lease
     */
    public void forgetLease(long lease) {
        leaseEras.remove(lease);
    }

    /**
     * Checks whether a lease may be used. The number of a lease of an earlier era may be that of another instance's
     * lease now.
     *
     * @param lease number of the lease, 0 for none
     * @return the failure if this client opened it in an earlier era
     */
    public Optional<StoreException> checkLease(long lease) {
        Long leaseEra = leaseEras.get(lease);
        return lease != 0 && leaseEra != null && leaseEra < era
                ? failure(Kind.LEASE_ENDED, "lease " + lease, leaseEra, era)
                : Optional.empty();
    }

    private static Optional<StoreException> failure(Kind kind, String what, long earlier, long later) {
        return Optional.of(
                new StoreException(kind, what + " of era " + earlier + " in era " + later + " of the store"));
    }
}
