package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.target.SpilloverReason;

/** Guards against requests that cross between data centres without need, or are refused although others have room. */
final class DataCentreRoutingTest {

    private static final int WARM_UP_REQUESTS = 20;

    private final RoutingFixture fixture = new RoutingFixture();
    private final List<String> servedBy = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    private HttpHandler respondingTarget(String id) {
        return exchange -> {
            servedBy.add(id);
            RoutingFixture.sendResponse(exchange, 200, true);
        };
    }

    private RoutingFixture.Outcome send(String path) {
        return fixture.send(path, Optional.of("1"));
    }

    private long sentElsewhere(SpilloverReason reason) {
        return fixture.context.metrics().counterValue("requests.other-data-centre." + reason.wireName());
    }

    /** Adds a target elsewhere that has responded, also so that later requests do not wait for classes to be loaded. */
    private void addKnownRemoteTarget() throws Exception {
        fixture.addTargetIn("other", "far", RoutingFixture.PLAIN_POOL, respondingTarget("far"));
        for (int request = 0; request < WARM_UP_REQUESTS; request++) {
            assertThat(send("/plain/x").await()).isEqualTo("200");
        }
        assertThat(sentElsewhere(SpilloverReason.NO_LOCAL_TARGET)).isEqualTo(WARM_UP_REQUESTS);
        servedBy.clear();
    }

    @Test
    void requestsStayInTheDataCentreOfTheInstanceAlthoughATargetElsewhereIsFaster() throws Exception {
        addKnownRemoteTarget();
        fixture.addTarget("near", RoutingFixture.PLAIN_POOL, exchange -> {
            RoutingFixture.pause(60);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        for (int request = 0; request < 10; request++) {
            assertThat(send("/plain/x").await()).isEqualTo("200");
        }
        assertThat(servedBy).isEmpty();
    }

    @Test
    void requestsAreServedElsewhereWhileTheTargetsOfTheDataCentreAreFull() throws Exception {
        addKnownRemoteTarget();
        CountDownLatch release = new CountDownLatch(1);
        fixture.addTarget("near", RoutingFixture.PLAIN_POOL, exchange -> {
            try {
                release.await(RoutingFixture.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            RoutingFixture.sendResponse(exchange, 200, true);
        });
        List<RoutingFixture.Outcome> outcomes = new ArrayList<>();
        // Two slots and a queue of five requests.
        for (int request = 0; request < 10; request++) {
            outcomes.add(send("/plain-once/x"));
            RoutingFixture.pause(10);
        }
        outcomes.get(9).await();
        release.countDown();
        for (RoutingFixture.Outcome outcome : outcomes) {
            assertThat(outcome.await()).isEqualTo("200");
        }
        assertThat(servedBy).contains("far");
        assertThat(sentElsewhere(SpilloverReason.LOCAL_FULL) + sentElsewhere(SpilloverReason.LOCAL_LATE))
                .isEqualTo(servedBy.size());
    }

    @Test
    void aRequestForAKeyIsSentToItsOwnerInAnotherDataCentre() throws Exception {
        fixture.addTargetIn("other", "far", RoutingFixture.KEYED_POOL, respondingTarget("far"));
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "far@1", 2, List.of()));
        assertThat(send("/keyed-once/x").await()).isEqualTo("200");
        assertThat(sentElsewhere(SpilloverReason.OWNER_ELSEWHERE)).isEqualTo(1);
    }
}
