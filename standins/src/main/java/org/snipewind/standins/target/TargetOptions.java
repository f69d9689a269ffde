package org.snipewind.standins.target;

/**
 * Fixed properties of a stand-in for a target.
 *
 * @param name name of the target
 * @param slots number of requests that run concurrently
 * @param serviceMillis service time of a request that states none
 * @param coldStartConcurrency number of requests in progress that it can take in cold start
 * @param coldStartResponses number of responses after which the cold start ends, 0 for no cold start
 * @param outageMillis time for which it drops all requests after an overload in cold start
 * @param checksTokens whether it rejects requests outside its grant
 * @param healthLagMillis age of the health that it reports
 * @param loadLagMillis age of the load that it reports
 */
public record TargetOptions(
        String name,
        int slots,
        long serviceMillis,
        int coldStartConcurrency,
        int coldStartResponses,
        long outageMillis,
        boolean checksTokens,
        long healthLagMillis,
        long loadLagMillis) {

    /**
     * Creates options of a target that has no cold start and checks tokens.
     *
     * @param name name of the target
     * @param slots number of requests that run concurrently
     * @param serviceMillis service time of a request that states none
     * @return the options
     */
    public static TargetOptions withoutColdStart(String name, int slots, long serviceMillis) {
        return new TargetOptions(name, slots, serviceMillis, Integer.MAX_VALUE, 0, 2_000, true, 0, 0);
    }
}
