package org.snipewind.standins.deployment;

/**
 * How the targets of a deployment behave.
 *
 * @param serviceMillis service time of a request that states none
 * @param coldStartConcurrency requests in progress that a target bears while cold
 * @param coldStartResponses answers after which a target is warm, 0 if it is warm at once
 * @param outageMillis time for which a target refuses everything after it fell over
 * @param healthLagMillis age of what the health endpoint says
 * @param loadLagMillis age of what the load endpoint says
 */
public record TargetBehaviour(
        long serviceMillis,
        int coldStartConcurrency,
        int coldStartResponses,
        long outageMillis,
        long healthLagMillis,
        long loadLagMillis) {

    /**
     * Creates the behaviour of targets that are warm at once.
     *
     * @param serviceMillis service time of a request that states none
     * @return the behaviour
     */
    public static TargetBehaviour withoutColdStart(long serviceMillis) {
        return new TargetBehaviour(serviceMillis, Integer.MAX_VALUE, 0, 2_000, 0, 0);
    }
}
