package org.snipewind.standins.deployment;

/**
 * Behaviour of the targets of a deployment.
 *
 * @param serviceMillis service time of a request that states none
 * @param coldStartConcurrency number of requests in progress that a target can take in cold start
 * @param coldStartResponses number of responses after which the cold start of a target ends, 0 for no cold start
 * @param outageMillis time for which a target drops all requests after an overload in cold start
 * @param healthLagMillis age of the health that a target reports
 * @param loadLagMillis age of the load that a target reports
 */
public record TargetBehaviour(
        long serviceMillis,
        int coldStartConcurrency,
        int coldStartResponses,
        long outageMillis,
        long healthLagMillis,
        long loadLagMillis) {

    /**
     * Creates the behaviour of targets that have no cold start.
     *
     * @param serviceMillis service time of a request that states none
     * @return the behaviour
     */
    public static TargetBehaviour withoutColdStart(long serviceMillis) {
        return new TargetBehaviour(serviceMillis, Integer.MAX_VALUE, 0, 2_000, 0, 0);
    }
}
