package org.snipewind.command;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.uri.UriBuilder;
import io.micronaut.serde.ObjectMapper;
import io.vavr.Lazy;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.IOException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.HttpKeyValueStore;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.RecordCodec;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;

/** A client of the store and the daemons that uses HTTP. */
final class HttpFleetClient implements FleetClient, AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final String CLIENT_ID = "snipewind";

    /** Created with the first call to a daemon, because subcommands such as check, and the help, need no client. */
    private final Lazy<HttpClient> client = Lazy.of(HttpFleetClient::createClient);

    private static HttpClient createClient() {
        DefaultHttpClientConfiguration settings = new DefaultHttpClientConfiguration();
        settings.setReadTimeout(CALL_TIMEOUT);
        settings.setConnectTimeout(CALL_TIMEOUT);
        return HttpClient.create((URL) null, settings);
    }

    @Override
    public KeyValueStore connectStore(String address) {
        return new HttpKeyValueStore(List.of(address), CLIENT_ID, CALL_TIMEOUT.toMillis(), (kind, outcome) -> {});
    }

    @Override
    public Either<String, FleetRecord> decodeFleetRecord(byte[] content) {
        return decode(content, RecordCodec::decodeFleetRecord);
    }

    @Override
    public Either<String, SliceTable> decodeSliceTable(byte[] content) {
        return decode(content, RecordCodec::decodeSliceTable);
    }

    @Override
    public Either<String, DaemonStatus> readStatus(String operatorAddress) {
        try {
            URI address = URI.create("http://" + operatorAddress + "/-/status");
            byte[] body = client.get().toBlocking().retrieve(HttpRequest.GET(address), byte[].class);
            return Either.right(ObjectMapper.getDefault().readValue(body, DaemonStatus.class));
        } catch (IOException | RuntimeException failure) {
            return Either.left(String.valueOf(failure.getMessage()));
        }
    }

    @Override
    public Either<ExplainFailure, String> explainRoute(String metricsAddress, RouteQuestion question) {
        try {
            UriBuilder uri = UriBuilder.of("http://" + metricsAddress + "/explain-route")
                    .queryParam("host", question.host())
                    .queryParam("path", question.path())
                    .queryParam("method", question.method())
                    .queryParam("format", question.json() ? "json" : "text");
            question.headers().forEach(header -> uri.queryParam("header", header));
            question.key().ifPresent(key -> uri.queryParam("key", key));
            return Either.right(client.get().toBlocking().retrieve(HttpRequest.GET(uri.build()), String.class));
        } catch (HttpClientResponseException failure) {
            boolean badArgument = failure.getStatus() == HttpStatus.BAD_REQUEST;
            String reason = failure.getResponse().getBody(String.class).orElse(failure.getMessage());
            return Either.left(new ExplainFailure(badArgument, reason.strip()));
        } catch (RuntimeException failure) {
            return Either.left(new ExplainFailure(false, "instance not reachable: " + failure.getMessage()));
        }
    }

    @Override
    public Either<String, String> readRollouts(String instanceAddress) {
        URI address = URI.create("http://" + instanceAddress + "/rollouts");
        return Try.of(() -> client.get().toBlocking().retrieve(HttpRequest.GET(address), String.class))
                .toEither()
                .mapLeft(failure -> String.valueOf(failure.getMessage()));
    }

    private static <T> Either<String, T> decode(byte[] content, Function<byte[], T> decoder) {
        return Try.of(() -> decoder.apply(content)).toEither().mapLeft(failure -> String.valueOf(failure.getMessage()));
    }

    @Override
    public void close() {
        if (client.isEvaluated()) {
            client.get().close();
        }
    }
}
