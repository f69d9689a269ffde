package org.snipewind.coordination.ownership;

import java.util.OptionalInt;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;

/** The check that a target runs on the grants and requests it receives. */
public final class GrantValidator {

    // Readings of different incarnations start at points this far apart on average, so an end that was computed from
    // the reading of another incarnation has either passed or lies beyond any possible grant.
    private static final int UNUSED_HASH_BITS = 13;
    private static final long LONGEST_GRANT_MILLIS = 60_000;

    private final MillisClock clock;
    private final String incarnation;
    private final long offset;
    private long highestToken = Long.MIN_VALUE;
    private long highestVersion = Long.MIN_VALUE;
    private Set<Integer> slices = Set.of();
    private boolean hasSlices;
    private long end;

    /**
     * Creates a register without a grant.
     *
     * @param clock the target's clock
     * @param incarnation id of this run of the target, unique for ever
     */
    public GrantValidator(MillisClock clock, String incarnation) {
        this.clock = clock;
        this.incarnation = incarnation;
        offset = (KeyHasher.hash(incarnation) >>> UNUSED_HASH_BITS) + 1 - clock.nowMillis();
    }

    /**
     * Takes an order of a supervisor.
     *
     * <p>Refused are a lower token, a lower table version, and slices beyond those of an earlier order of the same
     * token and version, as such an order was overtaken by the one that released them. A higher token is registered in
     * any case and ends the grant of the lower one.
     *
     * @param token fencing token of the supervisor
     * @param tableVersion version of the slice table from which the slices come
     * @param offered slices that the target may serve
     * @param validUntilMillis end of the grant on this target's clock; if it has passed or is 0, nothing is granted
     * @return true if the order was taken, so that no slice beyond the offered ones is served any more
     */
    public synchronized boolean applyGrant(long token, long tableVersion, Set<Integer> offered, long validUntilMillis) {
        if (token < highestToken) {
            return false;
        }
        if (token > highestToken) {
            highestToken = token;
            clear();
        }
        if (tableVersion < highestVersion) {
            return false;
        }
        if (tableVersion > highestVersion) {
            highestVersion = tableVersion;
            clear();
        }
        if (hasSlices && !slices.containsAll(offered)) {
            return false;
        }
        slices = Set.copyOf(offered);
        hasSlices |= validUntilMillis != 0;
        long now = nowMillis();
        if (validUntilMillis > now && validUntilMillis <= now + LONGEST_GRANT_MILLIS) {
            end = Math.max(end, validUntilMillis);
        }
        return true;
    }

    /**
     * Tells whether a request may be served at this moment.
     *
     * @param token fencing token that came with the request
     * @param slice slice of the request's key, or empty in an undivided pool
     * @return true if the token is the newest, the grant is in force and the slice belongs to it
     */
    public synchronized boolean isServable(long token, OptionalInt slice) {
        return token == highestToken && nowMillis() < end && (slice.isEmpty() || slices.contains(slice.getAsInt()));
    }

    /**
     * Gives the newest token.
     *
     * @return the highest token that was offered, or {@link Long#MIN_VALUE} before the first order
     */
    public synchronized long highestToken() {
        return highestToken;
    }

    /**
     * Reads the clock on which grants end; it is positive and starts at a point that depends on the incarnation.
     *
     * @return a reading in milliseconds
     */
    public long nowMillis() {
        return clock.nowMillis() + offset;
    }

    /**
     * Gives the id of this run of the target.
     *
     * @return the incarnation
     */
    public String incarnation() {
        return incarnation;
    }

    private void clear() {
        slices = Set.of();
        hasSlices = false;
        end = 0;
    }
}
