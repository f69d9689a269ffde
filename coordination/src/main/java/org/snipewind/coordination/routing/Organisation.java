package org.snipewind.coordination.routing;

import java.util.List;
import java.util.OptionalInt;

/**
 * A customer with its API keys and its rate limit over all instances together.
 *
 * @param name name of the organisation
 * @param keys API keys with which its callers identify themselves
 * @param ratePerSecond requests per second that it may send, 0 for no limit
 * @param burst requests that it may send at once in excess of the rate
 * @param priority priority of its requests, which goes before that of their routes; empty if it has none
 * @param suspended whether its limit is unknown, so that none of its requests may be admitted
 */
public record Organisation(
        String name, List<String> keys, double ratePerSecond, double burst, OptionalInt priority, boolean suspended) {

    /**
     * Creates an organisation whose limit is known and whose requests have the priorities of their routes.
     *
     * @param name name of the organisation
     * @param keys API keys with which its callers identify themselves
     * @param ratePerSecond requests per second that it may send, 0 for no limit
     * @param burst requests that it may send at once in excess of the rate
     */
    public Organisation(String name, List<String> keys, double ratePerSecond, double burst) {
        this(name, keys, ratePerSecond, burst, OptionalInt.empty(), false);
    }

    /**
     * Returns whether the organisation has a rate limit.
     *
     * @return false if any number of requests is allowed
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
