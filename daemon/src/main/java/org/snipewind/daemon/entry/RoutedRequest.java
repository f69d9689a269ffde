package org.snipewind.daemon.entry;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.clients.configuration.RouteSettings;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.protocol.ForwardRequest;

/** A caller's request on its way: what is fixed about it, and the attempts made so far. */
final class RoutedRequest {

    private final String id;
    private final CallerRequest request;
    private final String routeName;
    private final RouteSettings route;
    private final String organisation;
    private final String keyDigest;
    private final OptionalInt slice;
    private final long deadlineMillis;
    private final Map<String, List<String>> headers;
    private final CompletableFuture<Either<Refusal, TargetAnswer>> result = new CompletableFuture<>();
    private final Set<String> triedTargets = ConcurrentHashMap.newKeySet();
    private final Map<String, Destination> inFlight = new ConcurrentHashMap<>();
    private final AtomicInteger sends = new AtomicInteger();
    private volatile boolean cancelled;
    private volatile boolean unknownAttempt;
    private volatile int failedAttempts;

    RoutedRequest(
            String id,
            CallerRequest request,
            Map.Entry<String, RouteSettings> route,
            String organisation,
            String keyDigest,
            OptionalInt slice,
            long deadlineMillis) {
        this.id = id;
        this.request = request;
        this.routeName = route.getKey();
        this.route = route.getValue();
        this.organisation = organisation;
        this.keyDigest = keyDigest;
        this.slice = slice;
        this.deadlineMillis = deadlineMillis;
        this.headers = CallerHeaders.forTarget(request.headers());
    }

    RouteSettings route() {
        return route;
    }

    String routeName() {
        return routeName;
    }

    String organisation() {
        return organisation;
    }

    OptionalInt slice() {
        return slice;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    boolean isIdempotent() {
        return route.idempotentMethods().contains(request.method());
    }

    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Tells whether an attempt ended without it being known whether a target ran the request. */
    boolean hasUnknownAttempt() {
        return unknownAttempt;
    }

    void noteUnknownAttempt() {
        unknownAttempt = true;
    }

    int failedAttempts() {
        return failedAttempts;
    }

    void countFailedAttempt() {
        failedAttempts++;
    }

    Set<String> triedTargets() {
        return new HashSet<>(triedTargets);
    }

    /** Requests that were sent and have no outcome yet, by the id of the attempt. */
    Map<String, Destination> inFlight() {
        return inFlight;
    }

    CompletableFuture<Either<Refusal, TargetAnswer>> result() {
        return result;
    }

    /** Builds the frame for one more attempt; each attempt has an id of its own, so a duplicate can be told. */
    ForwardRequest nextAttempt(Destination destination, long remainingMillis) {
        triedTargets.add(destination.target());
        String attemptId = id + "." + sends.incrementAndGet();
        inFlight.put(attemptId, destination);
        return new ForwardRequest(
                attemptId,
                organisation,
                keyDigest,
                routeName,
                route.pool(),
                destination.target(),
                destination.slice(),
                destination.tableVersion(),
                remainingMillis,
                request.method(),
                request.uri(),
                headers,
                request.body());
    }
}
