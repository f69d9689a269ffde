package org.snipewind.standins.deployment;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a deployment that starts but does not route requests to its targets. */
@Timeout(120)
final class DeploymentTest {

    @Test
    void aSmallDeploymentServesKeyedRequestsAndAKilledTargetIsReplaced() {
        try (Deployment deployment =
                Deployment.start(DeploymentPlan.quickStart().withDaemonCount(3))) {
            Deployment.await("service", Duration.ofSeconds(20), () -> status(deployment) == 200);
            deployment.target("reelteca-1").kill();
            Deployment.await(
                    "service after the target was killed", Duration.ofSeconds(20), () -> status(deployment) == 200);
            deployment.startTarget("reelteca-1");
            Deployment.await(
                    "grant for the new process",
                    Duration.ofSeconds(20),
                    () -> !deployment.target("reelteca-1").report().cold());
            assertThat(deployment.targets().stream()
                            .filter(TargetHandle::hasOwnProcess)
                            .count())
                    .isEqualTo(1);
        }
    }

    private static int status(Deployment deployment) {
        String address = deployment.daemons().get(0).callerAddress();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/reels/narrator-1"))
                .header("Snipewind-Key", SampleConfiguration.apiKeyOf("estudio-norte"))
                .build();
        try {
            return HttpClient.newHttpClient()
                    .send(request, BodyHandlers.discarding())
                    .statusCode();
        } catch (Exception e) {
            return -1;
        }
    }
}
