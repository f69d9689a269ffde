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
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.protocol.ForwardRequest;

/** A caller's request in progress: its fixed properties and the state of its attempts. */
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
    private final CompletableFuture<Either<Refusal, TargetResponse>> result = new CompletableFuture<>();
    private final Set<String> triedTargets = ConcurrentHashMap.newKeySet();
    private final Map<String, Destination> inFlight = new ConcurrentHashMap<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
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

    /** Returns whether an attempt ended with an unknown outcome, so that a target may have run the request. */
    boolean hasUnknownAttempt() {
        return unknownAttempt;
    }

    void recordUnknownAttempt() {
        unknownAttempt = true;
    }

    int failedAttempts() {
        return failedAttempts;
    }

    void recordFailedAttempt() {
        failedAttempts++;
    }

    Set<String> triedTargets() {
        return new HashSet<>(triedTargets);
    }

    /** Returns the destinations of the attempts that have no outcome yet, by the id of the attempt. */
    Map<String, Destination> inFlight() {
        return inFlight;
    }

    CompletableFuture<Either<Refusal, TargetResponse>> result() {
        return result;
    }

    /** Creates the message of one more attempt. Each attempt has its own id, by which duplicates are detected. */
    ForwardRequest nextAttempt(Destination destination, long remainingMillis) {
        triedTargets.add(destination.target());
        String attemptId = id + "." + attemptCount.incrementAndGet();
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
