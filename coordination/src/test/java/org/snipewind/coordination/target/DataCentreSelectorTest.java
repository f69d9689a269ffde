package org.snipewind.coordination.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.routing.Route;
import org.snipewind.coordination.routing.RouteKind;

/** Guards against requests that are refused or late in one data centre while another one could serve them. */
final class DataCentreSelectorTest {

    private static final long NOW = 10_000;
    private static final SpilloverRequest REQUEST = new SpilloverRequest("pool", "route", 600, 1_500, false, false);
    private static final SpilloverRequest LARGE = new SpilloverRequest("pool", "upload", 600, 1_500, true, false);

    private final Random random = new Random(1);
    private final DataCentreSelector selector = new DataCentreSelector("here", 10, random::nextDouble);
    private final TargetState near = state("near", "here");
    private final TargetState far = state("far", "there");

    private Optional<Selection> choose(SpilloverRequest request, Predicate<TargetState> allowed) {
        return selector.choose(request, new Candidates(List.of(near, far), allowed, target -> false), NOW);
    }

    @Test
    void aTargetInTheDataCentreIsUsedWhileItRespondsInTimeEvenIfAnotherIsFaster() {
        recordResponses(near, 250);
        recordResponses(far, 50);
        assertThat(choose(REQUEST, target -> true)).hasValue(new Selection(near, Optional.empty()));
    }

    @Test
    void aRequestLeavesIfNoTargetOfTheDataCentreHasRoom() {
        assertThat(choose(REQUEST, far::equals)).hasValue(new Selection(far, Optional.of(SpilloverReason.LOCAL_FULL)));
        assertThat(choose(LARGE, far::equals)).hasValue(new Selection(far, Optional.of(SpilloverReason.LOCAL_FULL)));
    }

    @Test
    void aRequestLeavesIfItWouldBeLateInItsDataCentreAndInTimeElsewhere() {
        recordResponses(near, 700);
        recordResponses(far, 100);
        assertThat(choose(REQUEST, target -> true))
                .hasValue(new Selection(far, Optional.of(SpilloverReason.LOCAL_LATE)));
    }

    @Test
    void aRequestStaysIfItWouldBeLateEverywhere() {
        recordResponses(near, 1_000);
        recordResponses(far, 590);
        assertThat(choose(REQUEST, target -> true)).hasValue(new Selection(near, Optional.empty()));
    }

    @Test
    void aLargeBodyLeavesOnlyIfItWouldMissItsDeadline() {
        recordResponses(near, 1_000);
        recordResponses(far, 100);
        assertThat(choose(LARGE, target -> true)).hasValue(new Selection(near, Optional.empty()));
        IntStream.range(0, 3).forEach(index -> near.onRequestSent(NOW));
        assertThat(choose(LARGE, target -> true)).hasValue(new Selection(far, Optional.of(SpilloverReason.LOCAL_LATE)));
    }

    @Test
    void requestsOfAnEvacuatedDataCentreAreServedElsewhere() {
        Candidates candidates = new Candidates(List.of(far), target -> true, target -> false);
        assertThat(selector.choose(REQUEST, candidates, NOW))
                .hasValue(new Selection(far, Optional.of(SpilloverReason.NO_LOCAL_TARGET)));
    }

    @Test
    void aPausedTargetOfTheDataCentreIsUsedOnlyIfThereIsNoOtherAnywhere() {
        near.onNoResponse(NOW, true);
        assertThat(choose(REQUEST, target -> true))
                .hasValue(new Selection(far, Optional.of(SpilloverReason.NO_LOCAL_TARGET)));
        far.onNoResponse(NOW, true);
        assertThat(choose(REQUEST, target -> true)).hasValue(new Selection(near, Optional.empty()));
    }

    @Test
    void noTargetIsSelectedIfNoneHasRoom() {
        assertThat(choose(REQUEST, target -> false)).isEmpty();
    }

    @Test
    void routesWithLargeResponsesAndLargeRequestBodiesCountAsLarge() {
        Pool pool = new Pool("pool", false, 100, 1, "/h");
        assertThat(SpilloverRequest.of(pool, route(RouteKind.IDEMPOTENT), 100, 900, 1_000, false))
                .isEqualTo(new SpilloverRequest("pool", "route", 500, 900, false, false));
        assertThat(SpilloverRequest.of(pool, route(RouteKind.LARGE_RESPONSE), 0, 900, 0, false)
                        .largeBody())
                .isTrue();
        assertThat(SpilloverRequest.of(pool, route(RouteKind.NON_IDEMPOTENT), 0, 900, 60_000, false)
                        .largeBody())
                .isTrue();
    }

    private static Route route(RouteKind kind) {
        return new Route("route", "h", "/", kind, 1_500, 600, 0, List.of(), 2, true);
    }

    private static TargetState state(String id, String dataCentre) {
        return new TargetState(new TargetRegistration(id, 1, 1, "pool", "127.0.0.1", 1, dataCentre, 2, false, 0), NOW);
    }

    private static void recordResponses(TargetState target, double millis) {
        IntStream.range(0, 30).forEach(index -> target.onResponse(millis, NOW));
    }
}
