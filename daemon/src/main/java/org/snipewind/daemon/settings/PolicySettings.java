package org.snipewind.daemon.settings;

/**
 * Switches that turn a mechanism off, so that a measurement can compare it with a baseline.
 *
 * @param hedging whether slow idempotent requests of undivided pools are sent to a second target
 * @param loadAwareChoice whether targets of undivided pools are chosen by load instead of at random
 * @param coldStartRamp whether a cold target is limited to what it bears
 * @param fairQueueing whether waiting requests are served by organisation instead of in order of arrival
 * @param sharedBudget whether rates are issued by one keeper instead of an equal share on each daemon
 */
public record PolicySettings(
        boolean hedging, boolean loadAwareChoice, boolean coldStartRamp, boolean fairQueueing, boolean sharedBudget) {

    /** All mechanisms in use. */
    public static final PolicySettings DEFAULT = new PolicySettings(true, true, true, true, true);
}
