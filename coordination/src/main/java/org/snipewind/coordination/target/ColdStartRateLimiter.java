package org.snipewind.coordination.target;

import java.util.List;
import org.snipewind.coordination.budget.TokenBucket;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.ownership.KeyHasher;

/**
 * Limits the requests that this instance sends to a target in cold start.
 *
 * <p>The rates of all instances add up to the rate that the target can serve, plus one request for each instance that
 * may send. In a large fleet only a few instances may send to the target. They are chosen by rendezvous hashing (Thaler
 * and Ravishankar 1998), so that all instances agree on them without exchanging messages.
 */
public final class ColdStartRateLimiter {

    private final TokenBucket bucket;

    private ColdStartRateLimiter(TokenBucket bucket) {
        this.bucket = bucket;
    }

    /**
     * Creates the limiter of one instance for one target.
     *
     * @param clock the clock that refills the limiter
     * @param ratePerSecond requests per second that the target can serve in cold start
     * @param maxSenders maximum number of instances that may send to a target in cold start
     * @param self name of this instance
     * @param members names of all instances
     * @param target id of the target
     * @param fleetSize maximum number of instances that may be running, at least the number of members
     * @return the limiter, which allows no requests if this instance is not one of the senders
     */
    public static ColdStartRateLimiter forInstance(
            MillisClock clock,
            double ratePerSecond,
            int maxSenders,
            String self,
            List<String> members,
            String target,
            int fleetSize) {
        ColdStartRateLimiter limiter = new ColdStartRateLimiter(new TokenBucket(clock, 0, 1, 1));
        limiter.configure(ratePerSecond, maxSenders, self, members, target, fleetSize);
        return limiter;
    }

    /**
     * Applies a changed rate or fleet. An instance that becomes one of the senders begins without a permit, since the
     * former ones may just have used theirs.
     *
     * @param ratePerSecond requests per second that the target can serve in cold start
     * @param maxSenders maximum number of instances that may send to a target in cold start
     * @param self name of this instance
     * @param members names of all instances
     * @param target id of the target
     * @param fleetSize maximum number of instances that may be running, at least the number of members
     */
    public void configure(
            double ratePerSecond, int maxSenders, String self, List<String> members, String target, int fleetSize) {
        int senders = Math.max(1, Math.min(maxSenders, fleetSize));
        long ownScore = rendezvousScore(self, target);
        long higherScores = members.stream()
                .filter(member -> !member.equals(self) && rendezvousScore(member, target) > ownScore)
                .count();
        boolean maySend = higherScores < senders;
        bucket.reconfigure(maySend ? ratePerSecond / senders : 0, maySend ? 1 : 0);
    }

    /**
     * Takes a permit to send one request if there is one.
     *
     * @return false if a request now would exceed this instance's limit
     */
    public boolean tryAcquire() {
        return bucket.take(1) == 1;
    }

    /**
     * Returns whether a request now would be within this instance's limit.
     *
     * @return true if {@link #tryAcquire()} would succeed
     */
    public boolean canAcquire() {
        return bucket.millisUntil(1) == 0;
    }

    /**
     * Returns the time until a request would be within this instance's limit.
     *
     * @return milliseconds, {@link Long#MAX_VALUE} if this instance may not send to the target
     */
    public long millisUntilPermit() {
        return bucket.millisUntil(1);
    }

    private static long rendezvousScore(String member, String target) {
        return KeyHasher.hash(member + '/' + target) >>> 1;
    }
}
