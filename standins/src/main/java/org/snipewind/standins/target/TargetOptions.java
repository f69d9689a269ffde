package org.snipewind.standins.target;

/**
 * Fixed properties of a target.
 *
 * @param name name of the target
 * @param slots requests that it runs at a time
 * @param serviceMillis service time of a request that states none
 * @param coldStartConcurrency requests in progress that it bears while cold
 * @param coldStartResponses answers after which it is warm
 * @param outageMillis time for which it refuses everything after it fell over
 * @param checksTokens whether it refuses requests outside its grant
 * @param healthLagMillis age of what the health endpoint says
 * @param loadLagMillis age of what the load endpoint says
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
     * Creates options of a target that is warm at once and checks tokens.
     *
     * @param name name of the target
     * @param slots requests that it runs at a time
     * @param serviceMillis service time of a request that states none
     * @return the options
     */
    public static TargetOptions withoutColdStart(String name, int slots, long serviceMillis) {
        return new TargetOptions(name, slots, serviceMillis, Integer.MAX_VALUE, 0, 2_000, true, 0, 0);
    }
}
