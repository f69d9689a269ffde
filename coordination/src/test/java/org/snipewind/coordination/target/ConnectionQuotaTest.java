package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests a fleet that has nearly as many instances as a target accepts connections and sends to one target. Guards
 * against connections that the target resets together with the requests on them, which callers can't retry.
 */
final class ConnectionQuotaTest {

    @Test
    void allInstancesTogetherStayWithinTheLimitOfATarget() {
        for (int fleetSize : List.of(1, 9, 30, 84, 96)) {
            for (int maxConnections : List.of(96, 110, 120, 580)) {
                assertWithMessage("%s instances, %s connections", fleetSize, maxConnections)
                        .that(fleetSize * ConnectionQuota.limit(maxConnections, fleetSize))
                        .isAtMost(maxConnections);
            }
        }
    }

    @Test
    void anInstanceOfASmallFleetMayOpenSeveralConnections() {
        assertThat(ConnectionQuota.limit(48, 9)).isEqualTo(4);
    }

    @Test
    void anInstanceMayAlwaysOpenOneConnection() {
        assertThat(ConnectionQuota.limit(120, 1_900)).isEqualTo(1);
    }
}
