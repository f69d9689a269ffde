package org.snipewind.coordination.quota;

import org.snipewind.coordination.routing.Organisation;

/** The figures on which the keeper and the instances must agree. */
public final class QuotaSplit {

    /**
     * Part of a rate and burst that is split evenly over the instances for good; the keeper issues the rest. An
     * organisation mostly sends less than this part, so it is served without a keeper too; the rest evens out instances
     * with more callers than others.
     */
    private static final double FIXED_PART = 0.6;

    /**
     * Life of a token from the sending of its request. It covers a round trip between instances that are short of
     * processor time, and is short against a burst of about one second.
     */
    public static final long TOKEN_LIFETIME_MILLIS = 250;

    private QuotaSplit() {}

    /**
     * Gives the part of a rate and burst that is split over the instances. Parts of less than one token at once would
     * be lost at most instances, and rounded up they would exceed the burst, so then the keeper issues all.
     *
     * @param organisation the organisation
     * @param fleetSize number of instances
     * @return the part, from 0 to 1
     */
    public static double fixedFraction(Organisation organisation, int fleetSize) {
        return organisation.burst() * FIXED_PART >= fleetSize ? FIXED_PART : 0;
    }

    /**
     * Gives the rate that the keeper issues.
     *
     * @param organisation the organisation
     * @param fleetSize number of instances
     * @return tokens a second
     */
    public static double centralRatePerSecond(Organisation organisation, int fleetSize) {
        return organisation.ratePerSecond() * (1 - fixedFraction(organisation, fleetSize));
    }

    /**
     * Gives the burst that the keeper issues.
     *
     * @param organisation the organisation
     * @param fleetSize number of instances
     * @return tokens at once, at least 1
     */
    public static int centralBurst(Organisation organisation, int fleetSize) {
        return (int) Math.max(1, organisation.burst() * (1 - fixedFraction(organisation, fleetSize)));
    }
}
