package org.snipewind.clients.instances;

import io.micronaut.core.type.Argument;
import java.net.URI;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;
import org.snipewind.clients.transport.JsonCodec;

/** Reads the platform's list of instances over HTTP: a JSON object with the state of each instance by its name. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {

    private static final int MAX_CONNECTIONS = 2;

    private final URI uri;
    private final long timeoutMillis;
    private final HttpTransport transport;

    /**
     * Creates a client.
     *
     * @param address host and port of the server that provides the list
     * @param timeoutMillis maximum time for one read
     */
    public HttpInstanceList(String address, long timeoutMillis) {
        uri = URI.create("http://" + address + "/instances");
        this.timeoutMillis = timeoutMillis;
        transport = new HttpTransport(HttpTransportSettings.of(MAX_CONNECTIONS, timeoutMillis, timeoutMillis));
    }

    @Override
    public CompletableFuture<Map<String, InstanceState>> read() {
        return transport
                .exchange("GET", uri, Map.of(), new byte[0], timeoutMillis)
                .thenApply(HttpInstanceList::decodeStates);
    }

    @Override
    public void close() {
        transport.close();
    }

    private static Map<String, InstanceState> decodeStates(BufferedResponse response) {
        if (response.status() != 200) {
            throw new IllegalStateException("the instance list request failed with status " + response.status());
        }
        Map<String, InstanceState> states = new LinkedHashMap<>();
        JsonCodec.decode(response.body(), Argument.mapOf(String.class, String.class))
                .forEach((name, state) -> states.put(name, InstanceState.valueOf(state.toUpperCase(Locale.ROOT))));
        return states;
    }
}
