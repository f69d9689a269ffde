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

    /** Sends a request and returns the target that served it, or empty if it was refused or failed. */
    CompletableFuture<Optional<String>> send(String address, String key, long deadlineMillis) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/reels/" + key))
                .header("Snipewind-Key", SampleConfiguration.apiKeyOf(ORGANISATION))
                .header("Snipewind-Deadline-Millis", Long.toString(deadlineMillis))
                .timeout(Duration.ofMillis(deadlineMillis + 1_000))
                .build();
        return client.sendAsync(request, BodyHandlers.ofString()).handle((response, failure) -> targetOf(response));
    }

    private static Optional<String> targetOf(HttpResponse<String> response) {
        if (response == null || response.statusCode() != 200) {
            return Optional.empty();
        }
        Matcher matcher = TARGET.matcher(response.body());
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
