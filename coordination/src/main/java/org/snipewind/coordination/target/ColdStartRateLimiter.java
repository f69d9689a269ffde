package org.snipewind.coordination.target;

import java.util.List;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.ownership.KeyHasher;

/**
 * This instance's part of the requests that a target in cold start bears.
 *
 * <p>The parts of all instances add up to the rate that the target bears, plus one request for each instance that has a
 * part. In a large fleet only a few instances have one; they are chosen by rendezvous hashing (Thaler and Ravishankar
 * 1998), so that all instances agree on them without a message.
 */
public final class ColdStartRateLimiter {

    private final TokenBucket bucket;

    private ColdStartRateLimiter(TokenBucket bucket) {
        this.bucket = bucket;
    }

    /**
     * Works out this instance's part.
     *
     * @param clock the clock that refills the part
     * @param ratePerSecond requests a second that the target bears
     * @param maxSharers most instances that may send to a cold target
     * @param self name of this instance
     * @param members names of all instances
     * @param target id of the target
     * @param fleetSize largest number of instances that may be running, at least the number of members
     * @return the pace
     */
    public static ColdStartRateLimiter forInstance(
            MillisClock clock,
            double ratePerSecond,
            int maxSharers,
            String self,
            List<String> members,
            String target,
            int fleetSize) {
        int sharers = Math.max(1, Math.min(maxSharers, fleetSize));
        long own = score(self, target);
        long better = members.stream()
                .filter(member -> !member.equals(self) && score(member, target) > own)
                .count();
        boolean shares = better < sharers;
        return new ColdStartRateLimiter(
                new TokenBucket(clock, shares ? ratePerSecond / sharers : 0, shares ? 1 : 0, 1));
    }

    /**
     * Takes the right to send one request.
     *
     * @return false if a request now would exceed this instance's part
     */
    public boolean tryAcquire() {
        return bucket.take(1) == 1;
    }

    /**
     * Tells whether a request would be within this instance's part.
     *
     * @return true if {@link #tryAcquire()} would succeed
     */
    public boolean canAcquire() {
        return bucket.millisUntil(1) == 0;
    }

    private static long score(String member, String target) {
        return KeyHasher.hash(member + '/' + target) >>> 1;
    }
}
