package org.snipewind.router.state;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.clock.MillisClock;

/** When the store's items in the cache were last confirmed to be complete, and by whom. Not thread-safe. */
final class CacheConfirmations {

    /** Who confirmed that the cache is complete. */
    enum Source {
        /** A call of this instance to the store. */
        STORE,
        /** A broadcast of the leader. */
        BROADCAST,
        /** A peer that was asked. */
        PEER;

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** The time since an earlier one could exceed the range of a long, and an age that overflows looks current. */
    private static final long EARLIEST_MILLIS = Long.MIN_VALUE / 2;

    private final MillisClock clock;
    private final Map<Source, Long> confirmedMillis = new EnumMap<>(Source.class);

    CacheConfirmations(MillisClock clock) {
        this.clock = clock;
    }

    /** Records that the cache was complete at a time; an earlier time than a known one is ignored. */
    void record(Source source, long atMillis) {
        long boundedMillis = Math.max(EARLIEST_MILLIS, Math.min(atMillis, clock.nowMillis()));
        confirmedMillis.merge(source, boundedMillis, Math::max);
    }

    /** Forgets the confirmations of a source, whose changes have been missed. */
    void forget(Source source) {
        confirmedMillis.remove(source);
    }

    /** Forgets all confirmations, since they were of a revision that has proved wrong. */
    void forgetAll() {
        confirmedMillis.clear();
    }

    /** Returns the milliseconds since the last confirmation by a source, very large if there is none. */
    long ageMillis(Source source) {
        return Optional.ofNullable(confirmedMillis.get(source))
                .map(millis -> clock.nowMillis() - millis)
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the source of the newest confirmation, or empty if there is none. */
    Optional<Source> newestSource() {
        return confirmedMillis.entrySet().stream()
                .max(Comparator.comparing(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    /** Returns the milliseconds since the newest confirmation, very large if there is none. */
    long ageMillis() {
        return newestSource().map(this::ageMillis).orElse(Long.MAX_VALUE);
    }
}
