package org.snipewind.command;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.serde.ObjectMapper;
import io.vavr.Lazy;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;
import org.snipewind.platform.status.DaemonStatus;
import org.snipewind.platform.store.KeyValueStore;

/** Reaches the daemons over HTTP; the store client and the record codec are not connected yet. */
final class HttpPlatform implements Platform, AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String NOT_CONNECTED = "this build has no client of the store";

    /** Created with the first call, because check and help need no client. */
    private final Lazy<HttpClient> client = Lazy.of(HttpPlatform::createClient);

    private static HttpClient createClient() {
        DefaultHttpClientConfiguration settings = new DefaultHttpClientConfiguration();
        settings.setReadTimeout(TIMEOUT);
        settings.setConnectTimeout(TIMEOUT);
        return HttpClient.create((URL) null, settings);
    }

    @Override
    public KeyValueStore connect(String address) {
        throw new UnsupportedOperationException(NOT_CONNECTED);
    }

    @Override
    public Either<String, FleetRecord> decodeFleet(byte[] content) {
        return Either.left(NOT_CONNECTED);
    }

    @Override
    public Either<String, SliceTable> decodeSliceTable(byte[] content) {
        return Either.left(NOT_CONNECTED);
    }

    @Override
    public Either<String, DaemonStatus> status(String operatorAddress) {
        try {
            URI address = URI.create("http://" + operatorAddress + "/-/status");
            byte[] body = client.get().toBlocking().retrieve(HttpRequest.GET(address), byte[].class);
            return Either.right(ObjectMapper.getDefault().readValue(body, DaemonStatus.class));
        } catch (java.io.IOException | RuntimeException failure) {
            return Either.left(String.valueOf(failure.getMessage()));
        }
    }

    @Override
    public void close() {
        if (client.isEvaluated()) {
            client.get().close();
        }
    }
}
