package org.snipewind.router.path;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.error.ErrorKind;

/**
 * The unanswered requests of a caller's connection in their order. Idempotent requests that the caller sends ahead are
 * served side by side; any other request is served alone. Confined to the event loop of the connection.
 */
final class CallerExchanges {

    /** Number of unanswered requests at which reading from the connection pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    /** Requests of one connection that are served at the same time, so that one caller can't fill the targets. */
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
    private final BooleanSupplier connected;
    private final BooleanSupplier draining;

    /**
     * Creates an empty queue.
     *
     * @param connected whether the connection is open
     * @param draining whether no requests are to be started behind others
     */
    CallerExchanges(BooleanSupplier connected, BooleanSupplier draining) {
        this.connected = connected;
        this.draining = draining;
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    boolean isFull() {
        return exchanges.size() >= MAX_PIPELINED_REQUESTS;
    }

    Optional<CallerExchange> first() {
        return Optional.ofNullable(exchanges.peekFirst());
    }

    void add(CallerExchange exchange) {
        exchanges.addLast(exchange);
    }

    void remove(CallerExchange exchange) {
        exchanges.remove(exchange);
    }

    /**
     * Starts the first request, and those behind it as long as all of them are idempotent. While the server drains, the
     * requests behind the first one are not started: the caller learns from the close that they were not read.
     */
    void start() {
        boolean first = true;
        List<CallerExchange> startable =
                exchanges.stream().limit(MAX_CONCURRENT_REQUESTS).toList();
        for (CallerExchange exchange : startable) {
            if (!connected.getAsBoolean()) {
                return;
            }
            if (!exchange.isStarted()) {
                if (!first && (draining.getAsBoolean() || !exchange.isIdempotent())) {
                    return;
                }
                exchange.start();
            }
            if (exchanges.size() > 1 && !exchange.isIdempotent()) {
                return;
            }
            first = false;
        }
    }

    /**
     * Returns whether the connection is closed after a response: no request behind it has been started or may be.
     *
     * @param exchange the request of the response
     * @param closing whether the connection is closed after all responses
     */
    boolean isLast(CallerExchange exchange, boolean closing) {
        boolean startedBehind = exchanges.stream().anyMatch(other -> other != exchange && other.isStarted());
        boolean closeRequested = closing && exchanges.size() == 1;
        return exchange.isLastOnConnection() || closeRequested || draining.getAsBoolean() && !startedBehind;
    }

    /** Returns the memory of all requests and their responses. */
    long heldBytes() {
        long heldBytes = 0;
        for (CallerExchange exchange : exchanges) {
            heldBytes += exchange.heldBytes();
        }
        return heldBytes;
    }

    /**
     * Answers the requests that were started, before they are served.
     *
     * @param kind why, if they were not sent to a target
     */
    void endStarted(ErrorKind kind) {
        List.copyOf(exchanges).forEach(exchange -> exchange.endIfStarted(kind));
    }

    /**
     * Answers all requests, before they are served.
     *
     * @param kind why, if they were not sent to a target
     */
    void endAll(ErrorKind kind) {
        // The last one first: a request is started as soon as the response to the one before it is written.
        List<CallerExchange> lastFirst = new ArrayList<>(exchanges);
        Collections.reverse(lastFirst);
        lastFirst.forEach(exchange -> exchange.end(kind));
    }

    /** Cancels all requests, because the caller has disconnected. */
    void cancel() {
        exchanges.forEach(CallerExchange::cancel);
        exchanges.clear();
    }
}
