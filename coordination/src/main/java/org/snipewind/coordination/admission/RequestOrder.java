package org.snipewind.coordination.admission;

import java.util.Comparator;

/**
 * What decides the order in which requests get places that become free.
 *
 * @param urgencyRank number of less urgent priorities that requests to the pool can have
 * @param standing standing of the caller among those of the same urgency
 * @param latestStartMillis time until which the request must be sent to be answered within its latency objective
 */
public record RequestOrder(int urgencyRank, CallerStanding standing, long latestStartMillis)
        implements Comparable<RequestOrder> {

    private static final Comparator<RequestOrder> ORDER = Comparator.comparingInt(RequestOrder::urgencyRank)
            .reversed()
            .thenComparing(RequestOrder::standing)
            .thenComparingLong(RequestOrder::latestStartMillis);

    @Override
    public int compareTo(RequestOrder other) {
        return ORDER.compare(this, other);
    }
}
