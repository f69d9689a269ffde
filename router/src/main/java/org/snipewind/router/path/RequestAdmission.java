package org.snipewind.router.path;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.snipewind.coordination.admission.AdmissionRequest;
import org.snipewind.coordination.admission.PoolAdmission;
import org.snipewind.coordination.admission.QueueAllowance;
import org.snipewind.coordination.admission.RequestOrder;
import org.snipewind.coordination.admission.ReturnWindow;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.coordination.routing.Pool;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.router.log.RouterEvent;

/** Admission of one request: the queue that it may join, how long it waits for room, and when its caller returns. */
final class RequestAdmission {

    private final RoutingContext context;
    private final Pool pool;
    private final PoolAdmission poolAdmission;
    private final AdmissionRequest request;
    private final OptionalInt key;
    private OptionalLong waitUntilMillis = OptionalLong.empty();

    RequestAdmission(
            RoutingContext context,
            RequestClassifier.Classification classification,
            OptionalInt key,
            long arrivedMillis,
            long allowedMillis) {
        this.context = context;
        this.pool = classification.pool();
        this.key = pool.keyed() ? key : OptionalInt.empty();
        this.poolAdmission = context.sharedState().admission(pool.name());
        String route = classification.route().name();
        double elapsedBeforeMillis = poolAdmission.elapsedBeforeMillis(route, allowedMillis);
        this.request = new AdmissionRequest(
                route,
                classification.urgencyRank(),
                classification.route().latencyObjectiveMillis(),
                elapsedBeforeMillis,
                arrivedMillis,
                arrivedMillis + allowedMillis);
        if (request.isReturning()) {
            context.metrics().count("admission.returning");
        }
    }

    void onOffered() {
        poolAdmission.onOffered(request, context.clock().nowMillis());
    }

    QueueAllowance allowance() {
        return poolAdmission.allowance(request, this::place, context.clock().nowMillis());
    }

    /** Returns the incarnation of the only target that can serve the request, or an empty text. */
    private String place() {
        return key.stream()
                .mapToObj(value -> context.tracker()
                        .view()
                        .keyTables()
                        .getOrDefault(pool.name(), KeyTable.EMPTY)
                        .find(value))
                .flatMap(Optional::stream)
                .map(KeyAssignment::holder)
                .findFirst()
                .orElse("");
    }

    RequestOrder order() {
        return poolAdmission.order(request, context.clock().nowMillis());
    }

    /**
     * Returns until when the request may wait for room, or empty if there is none within that time. The limit is set by
     * the first wait of the request.
     *
     * @param untilRoomMillis least time until a target has room
     * @param holder the only target that can serve the request, empty if any target of the pool can
     * @param fromMillis time since which the request is held
     */
    OptionalLong waitUntilMillis(double untilRoomMillis, Optional<TargetState> holder, long fromMillis) {
        if (waitUntilMillis.isEmpty()) {
            waitUntilMillis = OptionalLong.of(request.waitUntilMillis(fromMillis, expectedMillis(holder)));
        }
        return mayWaitFor(untilRoomMillis) ? waitUntilMillis : OptionalLong.empty();
    }

    /** Returns whether the wait of the request ends after the given time. */
    boolean mayWaitFor(double untilRoomMillis) {
        return waitUntilMillis.isPresent()
                && context.clock().nowMillis() + untilRoomMillis < waitUntilMillis.getAsLong();
    }

    private double expectedMillis(Optional<TargetState> holder) {
        return holder.map(TargetState::meanServiceMillis).orElseGet(poolAdmission::meanResponseMillis);
    }

    /** Records that the request was sent to a target that rejected it, or that there was none with room. */
    void onLackOfRoom() {
        poolAdmission.onLackOfRoom(request, place(), context.clock().nowMillis());
    }

    void onServed(double responseMillis) {
        poolAdmission.onServed(request, responseMillis, context.clock().nowMillis());
    }

    /** Returns when the caller should return after a refusal without a target. */
    long returnAfterMillis(NoTarget noTarget) {
        long now = context.clock().nowMillis();
        if (noTarget.kind() == ErrorKind.POOL_UNAVAILABLE) {
            return returnAfterMillis(0, Optional.empty());
        }
        if (noTarget.untilRoomMillis().isEmpty()) {
            // A target states how long it pauses, whatever time the caller has left.
            return noTarget.kind() == ErrorKind.TARGET_PAUSED
                    ? noTarget.retryAfterMillis()
                    : ReturnWindow.limit(noTarget.retryAfterMillis(), request.deadlineMillis() - now);
        }
        recordShortage();
        return returnAfterMillis(noTarget.retryAfterMillis(), noTarget.holder());
    }

    /** Returns when the caller should return after an attempt has failed. */
    long returnAfterMillis(TargetState target, ErrorKind kind) {
        if (kind == ErrorKind.TARGET_SHED || kind == ErrorKind.OVERLOADED) {
            recordShortage();
        }
        return returnAfterMillis(0, pool.keyed() ? Optional.of(target) : Optional.empty());
    }

    private void recordShortage() {
        if (poolAdmission.onRefused(context.clock().nowMillis())) {
            context.log().write(RouterEvent.POOL_ROOM_EXHAUSTED, () -> "pool=" + pool.name());
        }
    }

    /**
     * Returns when the caller should return, and promises a place to it if there is one in time.
     *
     * @param untilRoomMillis least time until a target has room, 0 if it is not known
     * @param holder the only target that can serve the request, empty if any target of the pool can
     */
    private long returnAfterMillis(double untilRoomMillis, Optional<TargetState> holder) {
        long now = context.clock().nowMillis();
        ReturnWindow window = ReturnWindow.of(
                untilRoomMillis,
                request.deadlineMillis() - now,
                request.objectiveRemainingMillis(now),
                expectedMillis(holder));
        OptionalLong promised = holder.map(target ->
                        poolAdmission.promisePlaceAt(target.incarnation(), spacingMillis(target), window, now))
                .orElseGet(() -> poolAdmission.promisePlace(window, now));
        context.metrics().count(promised.isPresent() ? "admission.places-promised" : "admission.without-place");
        return promised.orElseGet(() -> poolAdmission.latestReturnMillis(window));
    }

    /** Returns the time in which a slot of a target becomes free for this instance, as one of those that send to it. */
    private double spacingMillis(TargetState target) {
        int slots = Math.max(1, target.registration().slots());
        return target.meanServiceMillis() / slots * context.tracker().view().fleetSize();
    }
}
