package org.snipewind.standins.target;

import java.util.OptionalInt;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.ownership.KeyHasher;

/** The target's own check of grants; it gives way to the register of the coordination library once that is merged. */
final class GrantRegister {

    private static final int UNUSED_HASH_BITS = 13;

    private final MillisClock clock;
    private final String incarnation;
    private final long offset;
    private long highestToken = Long.MIN_VALUE;
    private long highestVersion = Long.MIN_VALUE;
    private Set<Integer> slices = Set.of();
    private long end;

    GrantRegister(MillisClock clock, String incarnation) {
        this.clock = clock;
        this.incarnation = incarnation;
        // Readings of different incarnations are not comparable, so that a grant to an earlier one is not taken.
        offset = (KeyHasher.hash(incarnation) >>> UNUSED_HASH_BITS) + 1 - clock.nowMillis();
    }

    synchronized boolean offer(long token, long tableVersion, Set<Integer> offered, long validUntilMillis) {
        if (token < highestToken || (token == highestToken && tableVersion < highestVersion)) {
            return false;
        }
        if (token > highestToken || tableVersion > highestVersion) {
            end = 0;
        }
        highestToken = token;
        highestVersion = tableVersion;
        slices = Set.copyOf(offered);
        end = Math.max(end, validUntilMillis);
        return true;
    }

    synchronized boolean isServable(long token, OptionalInt slice) {
        return token == highestToken && nowMillis() < end && (slice.isEmpty() || slices.contains(slice.getAsInt()));
    }

    synchronized long highestToken() {
        return highestToken;
    }

    long nowMillis() {
        return clock.nowMillis() + offset;
    }

    String incarnation() {
        return incarnation;
    }
}
