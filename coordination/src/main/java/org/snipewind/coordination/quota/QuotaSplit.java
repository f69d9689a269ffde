package org.snipewind.coordination.quota;

import org.snipewind.coordination.routing.Organisation;

/**
 * Splits an organisation's rate and burst into fixed shares of the instances and a part that the token issuer issues
 * centrally. The token issuer and all instances have to use the same split.
 */
public final class QuotaSplit {

    /**
     * Fraction of a rate and burst that is split evenly and permanently over the instances; the token issuer issues the
     * rest. An organisation mostly sends less than this fraction, so it is served without a token issuer too. The rest
     * goes to the instances that have more callers than others.
     */
    private static final double FIXED_FRACTION = 0.6;

    /**
     * Lifetime of a token, counted from the sending of the request for it. It covers a round trip between instances
     * that are short of processor time, and is short compared with a burst of about one second.
     */
    public static final long TOKEN_LIFETIME_MILLIS = 250;

    private QuotaSplit() {}

    /**
     * Returns the fraction of a rate and burst that is split over the instances.
     *
     * <p>It is 0 if an instance's share of the burst would be less than one token. Most instances could never use such
     * a share, and rounded up the shares would exceed the burst, so the token issuer issues everything.
     *
     * @param organisation the organisation
     * @param fleetSize number of instances
     * @return the fraction, from 0 to 1
     */
    public static double fixedFraction(Organisation organisation, int fleetSize) {
        return organisation.burst() * FIXED_FRACTION >= fleetSize ? FIXED_FRACTION : 0;
    }

    /**
     * Returns the rate that the token issuer issues.
     *
     * @param organisation the organisation
     * @param fleetSize number of instances
     * @return tokens per second
     */
    public static double centralRatePerSecond(Organisation organisation, int fleetSize) {
        return organisation.ratePerSecond() * (1 - fixedFraction(organisation, fleetSize));
    }

    /**
     * Returns the burst that the token issuer issues.
     *
     * @param organisation the organisation
     * @param fleetSize number of instances
     * @return maximum number of tokens issued at once, at least 1
     */
    public static double centralBurst(Organisation organisation, int fleetSize) {
        return Math.max(1, organisation.burst() * (1 - fixedFraction(organisation, fleetSize)));
    }
}
