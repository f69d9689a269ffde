package org.snipewind.coordination.routing;

import java.util.List;

/**
 * A customer with its keys and its limit over all instances together.
 *
 * @param name name of the organisation
 * @param keys keys with which its callers identify themselves
 * @param ratePerSecond requests a second that it may send, 0 for no limit
 * @param burst requests above the rate that it may send at once
 */
public record Organisation(String name, List<String> keys, double ratePerSecond, double burst) {

    /**
     * Tells whether the organisation has a limit.
     *
     * @return false if any number of requests is allowed
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
