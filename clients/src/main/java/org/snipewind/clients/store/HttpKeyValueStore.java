package org.snipewind.clients.store;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.snipewind.clients.store.StoreCallObserver.Kind;
import org.snipewind.clients.store.StoreCallObserver.Outcome;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;

/**
 * Client of the store over HTTP.
 *
 * <p>Values are read with {@code GET /values?key=KEY}, written with {@code PUT /values?key=KEY&expected=VERSION} and
 * watched with {@code GET /values?key=KEY&above=VERSION&wait=MILLIS}. The header {@code Store-Version} of a response
 * holds the version of the value, and the header {@code Store-Caller} of a request the id of the caller. Calls are not
 * retried; after a failed call, the next one uses the next address.
 */
public final class HttpKeyValueStore implements KeyValueStore {

    /** Name of the response header with the version of a value. */
    public static final String VERSION_HEADER = "Store-Version";
    /** Name of the request header with the id of the caller. */
    public static final String CALLER_HEADER = "Store-Caller";
    /** Path of the values. */
    public static final String VALUES_PATH = "/values";

    private static final int MAX_CONNECTIONS = 16;
    // Maximum wait of a watch, which occupies a connection for the whole wait.
    private static final long MAX_WATCH_MILLIS = 60_000;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final byte[] NO_BODY = new byte[0];

    private final List<String> addresses;
    private final long timeoutMillis;
    private final Map<String, List<String>> headers;
    private final StoreCallObserver observer;
    private final HttpTransport transport;
    private final AtomicInteger addressIndex = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param addresses addresses of the store as host and port, the preferred one first
     * @param caller id of the calling process
     * @param timeoutMillis maximum time for one call, in addition to the wait of a watch
     * @param observer notified of the outcome of each call
     */
    public HttpKeyValueStore(List<String> addresses, String caller, long timeoutMillis, StoreCallObserver observer) {
        this.addresses = List.copyOf(addresses);
        this.timeoutMillis = timeoutMillis;
        this.headers = Map.of(CALLER_HEADER, List.of(caller), "Content-Type", List.of("application/octet-stream"));
        this.observer = observer;
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("the store client needs at least one address");
        }
        transport = new HttpTransport(
                HttpTransportSettings.of(MAX_CONNECTIONS, timeoutMillis, MAX_WATCH_MILLIS + timeoutMillis));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        return call(Kind.GET, "GET", query(key), NO_BODY, timeoutMillis, HttpKeyValueStore::decodeValue);
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        String query = query(key) + "&expected=" + expectedVersion;
        return call(Kind.SWAP, "PUT", query, content, timeoutMillis, HttpKeyValueStore::decodeSwapResult);
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        long wait = Math.min(waitMillis, MAX_WATCH_MILLIS);
        String query = query(key) + "&above=" + knownVersion + "&wait=" + wait;
        return call(Kind.WATCH, "GET", query, NO_BODY, wait + timeoutMillis, HttpKeyValueStore::decodeValue);
    }

    @Override
    public void close() {
        transport.close();
    }

    private <T> CompletableFuture<T> call(
            Kind kind,
            String method,
            String query,
            byte[] body,
            long callTimeoutMillis,
            Function<BufferedResponse, T> decoder) {
        int index = addressIndex.get();
        URI uri = URI.create("http://" + addresses.get(index) + VALUES_PATH + query);
        return transport.exchange(method, uri, headers, body, callTimeoutMillis).handle((response, failure) -> {
            try {
                if (failure != null) {
                    throw new StoreException(
                            "no response to " + kind + " from the store at " + uri.getAuthority(), failure);
                }
                T result = decoder.apply(response);
                observer.callEnded(kind, response.status() == OK ? Outcome.DONE : Outcome.DECLINED);
                return result;
            } catch (StoreException e) {
                addressIndex.compareAndSet(index, (index + 1) % addresses.size());
                observer.callEnded(kind, Outcome.FAILED);
                throw e;
            }
        });
    }

    private static String query(String key) {
        return "?key=" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    private static Optional<VersionedValue> decodeValue(BufferedResponse response) {
        return switch (response.status()) {
            case OK -> Optional.of(new VersionedValue(decodeVersion(response), response.body()));
            case NO_CONTENT, NOT_FOUND -> Optional.empty();
            default -> throw unexpectedStatus(response);
        };
    }

    private static SwapResult decodeSwapResult(BufferedResponse response) {
        return switch (response.status()) {
            case OK -> new SwapResult(true, decodeVersion(response));
            case CONFLICT -> new SwapResult(false, decodeVersion(response));
            default -> throw unexpectedStatus(response);
        };
    }

    private static long decodeVersion(BufferedResponse response) {
        try {
            return Long.parseLong(response.header(VERSION_HEADER).orElse(""));
        } catch (NumberFormatException e) {
            throw new StoreException("the store's response has no valid version header", e);
        }
    }

    private static StoreException unexpectedStatus(BufferedResponse response) {
        return new StoreException("the store responded with unexpected status " + response.status(), null);
    }
}
