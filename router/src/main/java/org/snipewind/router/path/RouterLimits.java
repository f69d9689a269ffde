package org.snipewind.router.path;

import java.util.OptionalDouble;

/**
 * Limits that apply to all instances together. The component names appear in the log when the settings are reloaded.
 *
 * @param repeatRatio retries that a pool may receive for each of its requests
 * @param repeatWindowMillis length of the sliding window in which retries are counted
 * @param repeatAllowance retries in a window that are allowed in addition to the ratio
 * @param coldFactor multiple of its configured cold-start rate that a target in cold start can serve
 * @param coldAllowance requests per second that such a target can serve in addition
 * @param secondAttemptShare second attempts that a pool may receive for each of its requests; if empty, they are sent
 *     after a fixed fraction of the latency objective and limited by the retries only
 */
public record RouterLimits(
        double repeatRatio,
        long repeatWindowMillis,
        double repeatAllowance,
        double coldFactor,
        double coldAllowance,
        OptionalDouble secondAttemptShare) {

    /**
     * Creates limits without a limit on second attempts of their own.
     *
     * @param repeatRatio retries that a pool may receive for each of its requests
     * @param repeatWindowMillis length of the sliding window in which retries are counted
     * @param repeatAllowance retries in a window that are allowed in addition to the ratio
     * @param coldFactor multiple of its configured cold-start rate that a target in cold start can serve
     * @param coldAllowance requests per second that such a target can serve in addition
     */
    public RouterLimits(
            double repeatRatio,
            long repeatWindowMillis,
            double repeatAllowance,
            double coldFactor,
            double coldAllowance) {
        this(repeatRatio, repeatWindowMillis, repeatAllowance, coldFactor, coldAllowance, OptionalDouble.empty());
    }
}
