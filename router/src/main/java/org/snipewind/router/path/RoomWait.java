package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.snipewind.coordination.target.TargetState;

/** The wait of a request until a target has room for it. Confined to the worker's event loop. */
final class RoomWait {

    private final Worker worker;
    private final RoutedRequest request;
    private final RequestAdmission admission;
    private final String pool;
    private Optional<NoTarget> lackOfRoom = Optional.empty();

    RoomWait(Worker worker, RoutedRequest request, RequestAdmission admission, String pool) {
        this.worker = worker;
        this.request = request;
        this.admission = admission;
        this.pool = pool;
    }

    /**
     * Has the request wait, if a target can have room in time.
     *
     * @param noTarget why the request has no target
     * @param heldSinceMillis time since which the request is held
     * @return false if the request has to be refused
     */
    boolean begin(NoTarget noTarget, long heldSinceMillis) {
        if (noTarget.untilRoomMillis().isEmpty()) {
            return false;
        }
        admission.onLackOfRoom();
        OptionalLong untilMillis =
                admission.waitUntilMillis(noTarget.untilRoomMillis().getAsDouble(), noTarget.holder(), heldSinceMillis);
        if (untilMillis.isEmpty()) {
            count(lackOfRoom.isEmpty() ? "admission.refused.no-room-in-time" : "admission.refused.wait-ended");
            return false;
        }
        String place = noTarget.holder().map(TargetState::incarnation).orElse("");
        if (!worker.capacityQueue().offer(this, pool, place, admission.order(), untilMillis.getAsLong())) {
            count("admission.refused.queue-full");
            return false;
        }
        if (lackOfRoom.isEmpty()) {
            count("admission.waited");
        }
        lackOfRoom = Optional.of(noTarget);
        return true;
    }

    /** Sends the request if a target has room; returns false if the request has to wait longer. */
    boolean trySend() {
        if (!request.checkCallerPresent()) {
            return true;
        }
        Either<NoTarget, TargetState> found = request.selectTarget();
        if (found.isRight()) {
            count("admission.sent-after-wait");
            request.send(found.get());
            return true;
        }
        NoTarget noTarget = found.getLeft();
        if (noTarget.untilRoomMillis().isPresent()
                && admission.mayWaitFor(noTarget.untilRoomMillis().getAsDouble())) {
            lackOfRoom = Optional.of(noTarget);
            return false;
        }
        request.handleNoTarget(noTarget);
        return true;
    }

    /** Refuses the request, since its time for waiting is up. */
    void end() {
        count("admission.refused.wait-ended");
        lackOfRoom.ifPresent(request::refuseWithoutTarget);
    }

    void onServed() {
        if (lackOfRoom.isPresent()) {
            count("admission.served-after-wait");
        }
    }

    void cancel() {
        worker.capacityQueue().remove(this, pool);
    }

    private void count(String metric) {
        worker.context().metrics().count(metric);
    }
}
