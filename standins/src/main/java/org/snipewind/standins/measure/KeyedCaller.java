package org.snipewind.standins.measure;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snipewind.standins.deployment.SampleConfiguration;

/** Sends keyed requests of one organisation to a daemon. */
final class KeyedCaller {

    private static final String ORGANISATION = "estudio-norte";
    private static final Pattern TARGET = Pattern.compile("\"target\":\"([^\"]+)\"");

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /** Sends a request and gives the target that answered it, or empty for a refusal or a failure. */
    CompletableFuture<Optional<String>> send(String address, String key, long deadlineMillis) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/reels/" + key))
                .header("Snipewind-Key", SampleConfiguration.apiKeyOf(ORGANISATION))
                .header("Snipewind-Deadline-Millis", Long.toString(deadlineMillis))
                .timeout(Duration.ofMillis(deadlineMillis + 1_000))
                .build();
        return client.sendAsync(request, BodyHandlers.ofString()).handle((answer, failure) -> targetOf(answer));
    }

    private static Optional<String> targetOf(HttpResponse<String> answer) {
        if (answer == null || answer.statusCode() != 200) {
            return Optional.empty();
        }
        Matcher matcher = TARGET.matcher(answer.body());
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
