package org.snipewind.coordination.ownership;

import java.util.OptionalInt;
import java.util.Set;
import org.snipewind.coordination.clock.MillisClock;

/** Checks, in a target, the grants and requests that it receives. */
public final class GrantValidator {

    // The clock readings of an incarnation start at a hash of 64 - 13 bits, so those of different incarnations are far
    // apart. A grant end that was computed from the reading of another incarnation has therefore either passed or lies
    // further ahead than any possible grant.
    private static final int UNUSED_HASH_BITS = 13;
    private static final long MAX_GRANT_MILLIS = 60_000;

    private final MillisClock clock;
    private final String incarnation;
    private final long clockOffsetMillis;
    private long highestToken = Long.MIN_VALUE;
    private long highestTableVersion = Long.MIN_VALUE;
    private Set<Integer> grantedSlices = Set.of();
    private boolean hasGrantedSlices;
    private long grantEndMillis;

    /**
     * Creates a validator without a grant.
     *
     * @param clock the target's clock
     * @param incarnation id of this incarnation of the target, never used by another one
     */
    public GrantValidator(MillisClock clock, String incarnation) {
        this.clock = clock;
        this.incarnation = incarnation;
        clockOffsetMillis = (KeyHasher.hash(incarnation) >>> UNUSED_HASH_BITS) + 1 - clock.nowMillis();
    }

    /**
     * Applies a grant request of a supervisor.
     *
     * <p>A request is rejected if it has a lower token or a lower table version than an earlier one. It is also
     * rejected if it has slices that an earlier request of the same token and version did not have: that request has
     * released them, and overtook this one. A higher token is recorded in any case and ends the grant of the lower one.
     *
     * @param token fencing token of the supervisor
     * @param tableVersion version of the slice table from which the slices come
     * @param slices slices that the target may serve
     * @param validUntilMillis end of the grant on this target's clock; if it has passed or is 0, nothing is granted
     * @return true if the request was accepted, so that no slice other than these is served any more
     */
    public synchronized boolean applyGrant(long token, long tableVersion, Set<Integer> slices, long validUntilMillis) {
        if (token < highestToken) {
            return false;
        }
        if (token > highestToken) {
            highestToken = token;
            clearGrant();
        }
        if (tableVersion < highestTableVersion) {
            return false;
        }
        if (tableVersion > highestTableVersion) {
            highestTableVersion = tableVersion;
            clearGrant();
        }
        if (hasGrantedSlices && !grantedSlices.containsAll(slices)) {
            return false;
        }
        grantedSlices = Set.copyOf(slices);
        hasGrantedSlices |= validUntilMillis != 0;
        long now = nowMillis();
        if (validUntilMillis > now && validUntilMillis <= now + MAX_GRANT_MILLIS) {
            grantEndMillis = Math.max(grantEndMillis, validUntilMillis);
        }
        return true;
    }

    /**
     * Returns whether a request may be served now.
     *
     * @param token fencing token that came with the request
     * @param slice slice of the request's key, or empty in an undivided pool
     * @return true if the token is the newest, the grant is in force and the slice belongs to it
     */
    public synchronized boolean isServable(long token, OptionalInt slice) {
        return token == highestToken
                && nowMillis() < grantEndMillis
                && (slice.isEmpty() || grantedSlices.contains(slice.getAsInt()));
    }

    /**
     * Returns the newest token.
     *
     * @return the highest token of a grant request, or {@link Long#MIN_VALUE} before the first one
     */
    public synchronized long highestToken() {
        return highestToken;
    }

    /**
     * Reads the clock on which grants end. Its readings are positive and start at a point that depends on the
     * incarnation.
     *
     * @return a reading in milliseconds
     */
    public long nowMillis() {
        return clock.nowMillis() + clockOffsetMillis;
    }

    /**
     * Returns the id of this incarnation of the target.
     *
     * @return the incarnation
     */
    public String incarnation() {
        return incarnation;
    }

    private void clearGrant() {
        grantedSlices = Set.of();
        hasGrantedSlices = false;
        grantEndMillis = 0;
    }
}
