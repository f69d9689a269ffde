package org.snipewind.standins.trace;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.snipewind.command.replay.OutcomeKind;
import org.snipewind.command.replay.ReplayEngine;
import org.snipewind.command.replay.ReplayOptions;
import org.snipewind.command.replay.ReplayProgressListener;
import org.snipewind.command.replay.ReplayResult;
import org.snipewind.command.replay.ReplaySummary;
import org.snipewind.command.replay.TraceRequest;
import org.snipewind.standins.server.StandInResponse;
import org.snipewind.standins.server.StandInServer;

final class TraceReplayTest {

    private static final TraceShape SHAPE = DeploymentTraces.jalsetu().withDurationMillis(2_000);

    /**
     * Guards against traces that differ between runs with the same seed, and against a baseline that differs from the
     * overload trace in more than the requests of the organisation that exceeds its rate.
     */
    @Test
    void sameSeedGivesTheSameRequestsAndAnOffenderChangesOnlyItsOwnRequests() {
        List<TraceRequest> regularLoad = TraceGenerator.generate(SHAPE, 7);
        List<TraceRequest> overload =
                TraceGenerator.generate(SHAPE.withScaledRates(name -> name.equals("rajkot-waters") ? 5 : 1), 7);

        assertThat(TraceGenerator.generate(SHAPE, 7)).isEqualTo(regularLoad);
        assertThat(ofOtherOrganisations(overload)).containsExactlyElementsIn(ofOtherOrganisations(regularLoad));
    }

    /**
     * Guards against latencies that leave out the wait behind a slow response, and against refusals that are counted as
     * responses.
     */
    @Test
    void requestsAreSentOpenLoopAndOutcomesFollowTheResponseHeaders() {
        try (StandInServer server = StandInServer.start(request -> respondTo(request.path()), 0);
                ReplayEngine engine =
                        new ReplayEngine(new ReplayOptions(List.of(server.address()), "sample-key-", "test-"))) {
            List<ReplayResult> results = engine.replay(
                    List.of(request(0, "/slow"), request(10, "/refused"), request(20, "/unknown")),
                    ReplayProgressListener.NONE);

            assertThat(results.stream().map(ReplayResult::kind).toList())
                    .containsExactly(OutcomeKind.ANSWERED, OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN)
                    .inOrder();
            assertThat(results.get(0).latencyMicros()).isAtLeast(300_000);
            assertThat(results.get(2).sentMicros()).isLessThan(results.get(0).endMicros());
            assertThat(ReplaySummary.of(results).refusals()).containsExactly("rate-exceeded", 1L);
        }
    }

    private static List<TraceRequest> ofOtherOrganisations(List<TraceRequest> requests) {
        return requests.stream()
                .filter(request -> !request.organisation().equals("rajkot-waters"))
                .toList();
    }

    private static TraceRequest request(long timeMillis, String route) {
        return new TraceRequest(timeMillis, "rajkot-waters", route, "", 0, 1, true, false, 2_000);
    }

    private static CompletableFuture<StandInResponse> respondTo(String path) {
        StandInResponse response = switch (path) {
            case "/refused" -> refusal("rate-exceeded", "not-run");
            case "/unknown" -> refusal("target-lost", "unknown");
            default -> StandInResponse.text(200, "done");
        };
        CompletableFuture<StandInResponse> delayed = new CompletableFuture<>();
        return path.equals("/slow")
                ? delayed.completeOnTimeout(response, 300, TimeUnit.MILLISECONDS)
                : CompletableFuture.completedFuture(response);
    }

    private static StandInResponse refusal(String kind, String execution) {
        return new StandInResponse(503, Map.of("Snipewind-Error", kind, "Snipewind-Execution", execution), new byte[0]);
    }
}
