package org.snipewind.standins.instances;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.snipewind.clients.instances.HttpInstanceList;
import org.snipewind.clients.instances.InstanceState;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.standins.server.StandInServer;

/** Guards against an instance list that shows changes before the lag has passed, or not at all. */
final class InstanceListStandInTest {

    @Test
    void aChangeBecomesVisibleAfterTheLag() throws Exception {
        ManualMillisClock clock = new ManualMillisClock(0);
        InstanceListStandIn standIn = new InstanceListStandIn(clock, 1_000);
        standIn.setStates(Map.of("a", InstanceState.LIVE));
        clock.advance(1_500);
        standIn.setStates(Map.of("a", InstanceState.LEAVING));
        try (StandInServer server = StandInServer.start(standIn, 0);
                HttpInstanceList list = new HttpInstanceList(server.address(), 2_000)) {
            assertThat(list.read().get(5, TimeUnit.SECONDS)).containsExactly("a", InstanceState.LIVE);
            clock.advance(1_000);
            assertThat(list.read().get(5, TimeUnit.SECONDS)).containsExactly("a", InstanceState.LEAVING);
        }
    }
}
