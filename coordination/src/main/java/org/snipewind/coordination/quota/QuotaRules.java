package org.snipewind.coordination.quota;

import org.snipewind.coordination.routing.Organisation;

/** The figures on which the keeper and the instances must agree. */
public final class QuotaRules {

    /** Part of a rate and burst that is split evenly over the instances for good; the keeper issues the rest. */
    public static final double FIXED_PART = 0.4;

    /**
     * Life of a token from the sending of its request. It covers a round trip between instances that are short of
     * processor time, and is short against a burst of about one second.
     */
    public static final long TOKEN_LIFE_MILLIS = 250;

    private QuotaRules() {}

    /**
     * Gives the rate that the keeper issues.
     *
     * @param organisation the organisation
     * @return tokens a second
     */
    public static double keptRate(Organisation organisation) {
        return organisation.ratePerSecond() * (1 - FIXED_PART);
    }

    /**
     * Gives the burst that the keeper issues.
     *
     * @param organisation the organisation
     * @return tokens at once, at least 1
     */
    public static int keptBurst(Organisation organisation) {
        return (int) Math.max(1, organisation.burst() * (1 - FIXED_PART));
    }
}
