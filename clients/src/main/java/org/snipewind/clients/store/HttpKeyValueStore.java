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
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.HttpTransportSettings;

/**
 * Reaches the store over HTTP.
 *
 * <p>Values are read with {@code GET /values?key=KEY}, written with {@code PUT /values?key=KEY&expected=VERSION} and
 * awaited with {@code GET /values?key=KEY&above=VERSION&wait=MILLIS}; the version travels in the header
 * {@code Store-Version} and the caller's id in {@code Store-Caller}. A call is never repeated here; after a failed call
 * the next one goes to the next address.
 */
public final class HttpKeyValueStore implements KeyValueStore {

    /** Header with the version of a value. */
    public static final String VERSION_HEADER = "Store-Version";
    /** Header with the id of the caller. */
    public static final String CALLER_HEADER = "Store-Caller";
    /** Path of the values. */
    public static final String PATH = "/values";

    private static final int CONNECTIONS = 16;
    // Watches keep their connection for their whole wait.
    private static final long LONGEST_WATCH_MILLIS = 60_000;
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
    private final AtomicInteger current = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param addresses host and port of each address of the store, in the order of preference
     * @param caller id of the calling process
     * @param timeoutMillis longest time for one call, without the wait of a watch
     * @param observer receives a report for each call
     */
    public HttpKeyValueStore(List<String> addresses, String caller, long timeoutMillis, StoreCallObserver observer) {
        this.addresses = List.copyOf(addresses);
        this.timeoutMillis = timeoutMillis;
        this.headers = Map.of(CALLER_HEADER, List.of(caller), "Content-Type", List.of("application/octet-stream"));
        this.observer = observer;
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("the store needs at least one address");
        }
        transport = new HttpTransport(
                HttpTransportSettings.of(CONNECTIONS, timeoutMillis, LONGEST_WATCH_MILLIS + timeoutMillis));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> get(String key) {
        return call(Kind.GET, "GET", query(key), NO_BODY, timeoutMillis, HttpKeyValueStore::value);
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedVersion, byte[] content) {
        String query = query(key) + "&expected=" + expectedVersion;
        return call(Kind.SWAP, "PUT", query, content, timeoutMillis, HttpKeyValueStore::swapResult);
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        long wait = Math.min(waitMillis, LONGEST_WATCH_MILLIS);
        String query = query(key) + "&above=" + knownVersion + "&wait=" + wait;
        return call(Kind.WATCH, "GET", query, NO_BODY, wait + timeoutMillis, HttpKeyValueStore::value);
    }

    @Override
    public void close() {
        transport.close();
    }

    private <T> CompletableFuture<T> call(
            Kind kind, String method, String query, byte[] body, long limitMillis, Function<HttpAnswer, T> decoder) {
        int index = current.get();
        URI uri = URI.create("http://" + addresses.get(index) + PATH + query);
        return transport.exchange(method, uri, headers, body, limitMillis).handle((answer, failure) -> {
            try {
                if (failure != null) {
                    throw new StoreException(
                            "no answer to " + kind + " from the store at " + uri.getAuthority(), failure);
                }
                T result = decoder.apply(answer);
                observer.callEnded(kind, answer.status() == OK ? Outcome.DONE : Outcome.DECLINED);
                return result;
            } catch (StoreException e) {
                current.compareAndSet(index, (index + 1) % addresses.size());
                observer.callEnded(kind, Outcome.FAILED);
                throw e;
            }
        });
    }

    private static String query(String key) {
        return "?key=" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    private static Optional<VersionedValue> value(HttpAnswer answer) {
        return switch (answer.status()) {
            case OK -> Optional.of(new VersionedValue(version(answer), answer.body()));
            case NO_CONTENT, NOT_FOUND -> Optional.empty();
            default -> throw unexpected(answer);
        };
    }

    private static SwapResult swapResult(HttpAnswer answer) {
        return switch (answer.status()) {
            case OK -> new SwapResult(true, version(answer));
            case CONFLICT -> new SwapResult(false, version(answer));
            default -> throw unexpected(answer);
        };
    }

    private static long version(HttpAnswer answer) {
        try {
            return Long.parseLong(answer.header(VERSION_HEADER).orElse(""));
        } catch (NumberFormatException e) {
            throw new StoreException("the store's answer has no version", e);
        }
    }

    private static StoreException unexpected(HttpAnswer answer) {
        return new StoreException("the store answered with status " + answer.status(), null);
    }
}
