package org.snipewind.router.state;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.rollout.RolloutOrder;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;

/** The orders and records of roll-outs among the items of the store. Confined to the control event loop. */
final class RolloutItems {

    private final MillisClock clock;
    private final RouterEventLog log;
    private final Map<String, PoolRollout> rollouts = new HashMap<>();

    RolloutItems(MillisClock clock, RouterEventLog log) {
        this.clock = clock;
        this.log = log;
    }

    /** Returns an immutable copy of the roll-outs by pool. */
    Map<String, PoolRollout> view() {
        return Map.copyOf(rollouts);
    }

    /** Applies an order; one that can't be read is ignored, and an earlier one stays in force. */
    void applyOrder(String pool, StoreItem item, Either<String, RolloutOrder> parsed) {
        parsed.peek(order -> {
                    PoolRollout known = rollouts.getOrDefault(pool, PoolRollout.NONE);
                    rollouts.put(pool, known.withOrder(Optional.of(order), clock.nowMillis()));
                    log.write(
                            RouterEvent.ROLLOUT_ORDERED,
                            () -> "pool=" + pool + " version=" + order.version() + " duration=" + order.durationMillis()
                                    + "ms revision=" + order.revision());
                })
                .peekLeft(problem -> logUnreadable(item, problem));
    }

    void removeOrder(String pool) {
        PoolRollout known = rollouts.get(pool);
        if (known != null && known.order().isPresent()) {
            rollouts.put(pool, known.withOrder(Optional.empty(), clock.nowMillis()));
            log.write(RouterEvent.ROLLOUT_ORDERED, () -> "pool=" + pool + " withdrawn=true");
        }
    }

    void applyRecord(StoreItem item) {
        String pool = item.key().substring(StoreKeys.ROLLOUT_PREFIX.length());
        RolloutRecordCodec.decode(item.value())
                .ifPresentOrElse(
                        record -> rollouts.put(
                                pool,
                                rollouts.getOrDefault(pool, PoolRollout.NONE)
                                        .withRecord(Optional.of(record), item.revision(), clock.nowMillis())),
                        () -> logUnreadable(item, "record of a roll-out is malformed"));
    }

    void removeRecord(String key) {
        rollouts.computeIfPresent(
                key.substring(StoreKeys.ROLLOUT_PREFIX.length()),
                (pool, known) -> known.withRecord(Optional.empty(), 0, clock.nowMillis()));
    }

    private void logUnreadable(StoreItem item, String problem) {
        log.write(
                RouterEvent.ITEM_UNREADABLE,
                () -> "key=" + item.key() + " revision=" + item.revision() + " problem=" + problem);
    }
}
