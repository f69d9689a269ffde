package org.snipewind.router.path;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.snipewind.coordination.admission.RequestOrder;
import org.snipewind.coordination.admission.WaitingQueue;
import org.snipewind.coordination.clock.MillisClock;

/**
 * Requests of a worker that wait until a target has room. They are tried again at each response of their pool and at
 * intervals, as the estimate of a target's load also falls with time. Confined to the worker's event loop.
 */
final class CapacityQueue {

    /** Interval between tries; the timer runs only while a request waits. */
    private static final long TRY_INTERVAL_MILLIS = 25;

    /** Most requests that wait for one pool, which bounds the work of a try and the memory of their bodies. */
    private static final int MAX_WAITING = 64;

    private final EventLoop loop;
    private final MillisClock clock;
    private final Map<String, WaitingQueue<RoomWait>> queues = new HashMap<>();
    private Optional<Future<?>> timer = Optional.empty();
    private long timerAtMillis;
    private boolean trying;

    CapacityQueue(EventLoop loop, MillisClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Adds a request; returns false if too many wait. */
    boolean offer(RoomWait request, String pool, String place, RequestOrder order, long untilMillis) {
        boolean added = queues.computeIfAbsent(pool, name -> new WaitingQueue<>(MAX_WAITING))
                .offer(request, place, order, untilMillis);
        startTimer();
        return added;
    }

    void remove(RoomWait request, String pool) {
        WaitingQueue<RoomWait> queue = queues.get(pool);
        if (queue != null) {
            queue.remove(request);
        }
    }

    /** Tries the requests that go ahead of a new one, so that it does not take a place that is theirs. */
    void tryAheadOf(String pool, RequestOrder order) {
        tryWaiting(pool, Optional.of(order));
    }

    /** Tries the requests of a pool after one of its targets has responded. */
    void onResponse(String pool) {
        tryWaiting(pool, Optional.empty());
    }

    private void tryWaiting(String pool, Optional<RequestOrder> aheadOf) {
        WaitingQueue<RoomWait> queue = queues.get(pool);
        if (queue == null || queue.isEmpty() || trying) {
            return;
        }
        trying = true;
        try {
            queue.lookAgain(clock.nowMillis(), aheadOf, RoomWait::trySend, RoomWait::end);
        } finally {
            trying = false;
        }
    }

    /** Schedules the next try, or moves it forward if a wait ends before it. */
    private void startTimer() {
        long nextEndMillis = queues.values().stream()
                .mapToLong(WaitingQueue::nextEndMillis)
                .min()
                .orElse(Long.MAX_VALUE);
        boolean earlyEnough = timer.isPresent() && timerAtMillis <= nextEndMillis;
        if (nextEndMillis == Long.MAX_VALUE || earlyEnough) {
            return;
        }
        timer.ifPresent(later -> later.cancel(false));
        long now = clock.nowMillis();
        timerAtMillis = Math.min(now + TRY_INTERVAL_MILLIS, nextEndMillis);
        timer = Optional.of(loop.schedule(this::onTimer, Math.max(1, timerAtMillis - now), TimeUnit.MILLISECONDS));
    }

    private void onTimer() {
        timer = Optional.empty();
        try {
            queues.keySet().forEach(this::onResponse);
        } finally {
            startTimer();
        }
    }
}
