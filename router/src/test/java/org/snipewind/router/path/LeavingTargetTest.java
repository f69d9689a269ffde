package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** Guards against requests that reach a target after its leaving is known, or wait for it in vain. */
final class LeavingTargetTest {

    private final RoutingFixture fixture = new RoutingFixture();
    private final List<String> servedBy = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() throws Exception {
        fixture.stop();
    }

    private void addTarget(String id, String pool) throws Exception {
        fixture.addTarget(id, pool, exchange -> {
            servedBy.add(id);
            RoutingFixture.sendResponse(exchange, 200, true);
        });
    }

    private void removeTarget(String id) {
        fixture.context.tracker().itemRemoved("target/" + id);
        fixture.context.tracker().changesApplied();
    }

    private void serve(String path, Responder responder) {
        fixture.worker.serve(
                new CallerRequest(
                        HttpMethod.GET,
                        path,
                        new DefaultHttpHeaders().set("Host", "h").set("Id", "1"),
                        RequestBody.empty()),
                responder);
    }

    @Test
    void aTargetThatLeavesWhileItsConnectionIsOpenedGetsNoRequest() throws Exception {
        addTarget("a", RoutingFixture.PLAIN_POOL);
        RoutingFixture.Outcome outcome = new RoutingFixture.Outcome();
        fixture.loop
                .submit(() -> {
                    serve("/plain-once/x", outcome);
                    removeTarget("a");
                })
                .get();
        assertThat(outcome.await()).isEqualTo(ErrorKind.POOL_UNAVAILABLE.wireName());
        assertThat(servedBy).isEmpty();
    }

    @Test
    void theOwnerOfAKeyThatLeavesWhileItsConnectionIsOpenedGetsNoRequest() throws Exception {
        addTarget("a", RoutingFixture.KEYED_POOL);
        addTarget("b", RoutingFixture.KEYED_POOL);
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        RoutingFixture.Outcome outcome = new RoutingFixture.Outcome();
        fixture.loop
                .submit(() -> {
                    serve("/keyed-once/x", outcome);
                    removeTarget("a");
                })
                .get();
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "b@1", 3, List.of()));
        assertThat(outcome.await()).isEqualTo("200");
        assertThat(servedBy).containsExactly("b");
    }

    @Test
    void aRequestIsRefusedAtOnceWhenNoTargetCouldGetItsKey() throws Exception {
        addTarget("a", RoutingFixture.KEYED_POOL);
        fixture.assign(new KeyAssignment(0, KeyTable.LAST_KEY, "a@1", 2, List.of()));
        RoutingFixture.Outcome outcome = new RoutingFixture.Outcome();
        Optional<ErrorKind> refusal = fixture.loop
                .submit(() -> {
                    removeTarget("a");
                    serve("/keyed-once/x", outcome);
                    return outcome.refusal();
                })
                .get();
        assertThat(refusal).isEqualTo(Optional.of(ErrorKind.OWNER_UNAVAILABLE));
        assertThat(outcome.retryAfterMillis()).isGreaterThan(0);
    }
}
