package org.snipewind.router.state;

import java.util.Optional;
import org.snipewind.coordination.rollout.RolloutOrder;
import org.snipewind.coordination.rollout.RolloutRecord;

/**
 * The roll-out of a pool as an instance knows it.
 *
 * @param order the order, empty if there is none
 * @param orderSeenMillis time at which this instance learnt of the order
 * @param record the record, empty if there never was a roll-out
 * @param recordRevision revision of the record, 0 if there is none
 * @param recordSeenMillis time at which this instance learnt of the record
 */
public record PoolRollout(
        Optional<RolloutOrder> order,
        long orderSeenMillis,
        Optional<RolloutRecord> record,
        long recordRevision,
        long recordSeenMillis) {

    static final PoolRollout NONE = new PoolRollout(Optional.empty(), 0, Optional.empty(), 0, 0);

    PoolRollout withOrder(Optional<RolloutOrder> newOrder, long nowMillis) {
        return new PoolRollout(newOrder, nowMillis, record, recordRevision, recordSeenMillis);
    }

    PoolRollout withRecord(Optional<RolloutRecord> newRecord, long revision, long nowMillis) {
        return new PoolRollout(order, orderSeenMillis, newRecord, revision, nowMillis);
    }

    /**
     * Returns the time since the order, as far as this instance knows: by its own observation or by the record.
     *
     * @param nowMillis the time
     * @return milliseconds
     */
    public long elapsedMillis(long nowMillis) {
        long observed = order.isPresent() ? nowMillis - orderSeenMillis : 0;
        long recorded = record.filter(each -> order.isEmpty() || order.get().revision() == each.orderRevision())
                .map(each -> each.elapsedMillis() + nowMillis - recordSeenMillis)
                .orElse(0L);
        return Math.max(observed, recorded);
    }
}
