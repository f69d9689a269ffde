package org.snipewind.standins.deployment;

/**
 * How the targets of a deployment behave.
 *
 * @param serviceMillis service time of a request that states none
 * @param coldConcurrency requests in progress that a target bears while cold
 * @param coldAnswers answers after which a target is warm, 0 if it is warm at once
 * @param fallMillis time for which a target refuses everything after it fell over
 * @param healthLagMillis age of what the health endpoint says
 * @param loadLagMillis age of what the load endpoint says
 */
public record TargetBehaviour(
        long serviceMillis,
        int coldConcurrency,
        int coldAnswers,
        long fallMillis,
        long healthLagMillis,
        long loadLagMillis) {

    /**
     * Creates the behaviour of targets that are warm at once.
     *
     * @param serviceMillis service time of a request that states none
     * @return the behaviour
     */
    public static TargetBehaviour warm(long serviceMillis) {
        return new TargetBehaviour(serviceMillis, Integer.MAX_VALUE, 0, 2_000, 0, 0);
    }
}
