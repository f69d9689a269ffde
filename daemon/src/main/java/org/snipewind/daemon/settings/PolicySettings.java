package org.snipewind.daemon.settings;

/**
 * Switches that replace a mechanism by a baseline, with which measurements compare it.
 *
 * @param hedging whether slow idempotent requests of undivided pools are sent to a second target
 * @param loadAwareChoice whether targets of undivided pools are selected by load instead of at random
 * @param coldStartRamp whether the concurrency of a target in cold start is limited and raised step by step
 * @param fairQueueing whether queues are fair between organisations instead of in order of arrival
 * @param sharedBudget whether the tokens of a rate come from one issuer instead of an equal fixed share on each daemon
 */
public record PolicySettings(
        boolean hedging, boolean loadAwareChoice, boolean coldStartRamp, boolean fairQueueing, boolean sharedBudget) {

    /** All mechanisms switched on. */
    public static final PolicySettings DEFAULT = new PolicySettings(true, true, true, true, true);
}
