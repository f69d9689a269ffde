package org.snipewind.command;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.serde.ObjectMapper;
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

    private final ObjectMapper mapper = ObjectMapper.getDefault();
    private final HttpClient client;

    HttpPlatform() {
        DefaultHttpClientConfiguration settings = new DefaultHttpClientConfiguration();
        settings.setReadTimeout(TIMEOUT);
        settings.setConnectTimeout(TIMEOUT);
        client = HttpClient.create((URL) null, settings);
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
            byte[] body = client.toBlocking().retrieve(HttpRequest.GET(address), byte[].class);
            return Either.right(mapper.readValue(body, DaemonStatus.class));
        } catch (java.io.IOException | RuntimeException failure) {
            return Either.left(String.valueOf(failure.getMessage()));
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
