package org.snipewind.coordination.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A pool of equal targets, each with its own slots and queue, and the instances that send to it. Each instance decides
 * by its own {@link PoolAdmission}; it knows the load of the targets. Callers return once after a refusal.
 */
final class PoolModel {

    static final double MAX_QUEUED_PER_SLOT = 2.5;
    private static final double LATE_VALUE = 0.3;
    private static final int MAX_WAITING = 64;
    private static final long TRY_INTERVAL_MILLIS = 25;

    /** A kind of requests. */
    record Kind(String route, int urgencyRank, double serviceMillis, double objectiveMillis, double deadlineMillis) {}

    /** What became of the requests of a kind. */
    static final class Result {
        int requests;
        int inTime;
        int late;
        int refusals;
        int refusedTwice;
        long longestWaitMillis;

        void add(Result other) {
            requests += other.requests;
            inTime += other.inTime;
            late += other.late;
            refusals += other.refusals;
            refusedTwice += other.refusedTwice;
        }

        /** Returns the value served, where a late response has less of it. */
        double value() {
            return inTime + LATE_VALUE * late;
        }

        double servedShare() {
            return (inTime + late) / (double) Math.max(1, requests);
        }

        double inTimeShare() {
            return inTime / (double) Math.max(1, requests);
        }
    }

    private record Event(long atMillis, long sequence, Runnable action) {}

    private final class Request {
        private final Kind kind;
        private final int instance;
        private final long firstArrivalMillis;
        private final boolean returned;
        private final AdmissionRequest admission;

        Request(Kind kind, int instance, long firstArrivalMillis, boolean returned) {
            this.kind = kind;
            this.instance = instance;
            this.firstArrivalMillis = firstArrivalMillis;
            this.returned = returned;
            double remaining = kind.deadlineMillis() - (now - firstArrivalMillis);
            double elapsedBefore = admissions.get(instance).elapsedBeforeMillis(kind.route(), remaining);
            this.admission = new AdmissionRequest(
                    kind.route(), kind.urgencyRank(), kind.objectiveMillis(), elapsedBefore, now, (long)
                            (now + remaining));
            admissions.get(instance).onOffered(admission, now);
        }
    }

    private final Random random;
    private final int slotsPerTarget;
    private final int[] load;
    private final double[] busyUntil;
    private final double[] coldPermitsPerSecond;
    private final long[] coldUntilMillis;
    private final long[] nextPermitMillis;
    private final boolean decides;
    private final List<PoolAdmission> admissions = new ArrayList<>();
    private final List<WaitingQueue<Request>> queues = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((left, right) -> left.atMillis() == right.atMillis()
            ? Long.compare(left.sequence(), right.sequence())
            : Long.compare(left.atMillis(), right.atMillis()));
    private final Map<String, Result> results = new HashMap<>();
    private long now = 1_000_000;
    private long sequence;

    /**
     * Creates an idle pool.
     *
     * @param decides false for the former behaviour: refusal at once, return after a fixed time or that of the holder
     */
    PoolModel(int targets, int slotsPerTarget, int instances, boolean decides, long seed) {
        this.slotsPerTarget = slotsPerTarget;
        this.load = new int[targets];
        this.busyUntil = new double[targets * slotsPerTarget];
        this.coldPermitsPerSecond = new double[targets];
        this.coldUntilMillis = new long[targets];
        this.nextPermitMillis = new long[targets];
        this.decides = decides;
        this.random = new Random(seed);
        for (int instance = 0; instance < instances; instance++) {
            admissions.add(new PoolAdmission(random::nextDouble));
            queues.add(new WaitingQueue<>(MAX_WAITING));
        }
    }

    /** Adds requests with random gaps between two times, counted from now. */
    void offer(Kind kind, double perSecond, long fromMillis, long toMillis) {
        for (double at = fromMillis; at < toMillis; at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond) {
            schedule(now + (long) at, () -> arrive(kind, now, false));
        }
    }

    /** Limits a target to a rate for a time from now. */
    void setCold(int target, double permitsPerSecond, long forMillis) {
        coldPermitsPerSecond[target] = permitsPerSecond;
        coldUntilMillis[target] = now + forMillis;
    }

    private boolean hasPermit(int target) {
        return now >= coldUntilMillis[target] || now >= nextPermitMillis[target];
    }

    Map<String, Result> run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
        return results;
    }

    private void schedule(long atMillis, Runnable action) {
        events.add(new Event(atMillis, sequence++, action));
    }

    private Result result(Kind kind) {
        return results.computeIfAbsent(kind.route(), route -> new Result());
    }

    private void arrive(Kind kind, long firstArrivalMillis, boolean returned) {
        if (!returned) {
            result(kind).requests++;
        }
        Request request = new Request(kind, random.nextInt(admissions.size()), firstArrivalMillis, returned);
        PoolAdmission admission = admissions.get(request.instance);
        if (decides) {
            tryWaiting(request.instance, Optional.of(admission.order(request.admission, now)));
        }
        if (trySend(request)) {
            return;
        }
        admission.onLackOfRoom(request.admission, "", now);
        long until = request.admission.waitUntilMillis(now, kind.serviceMillis());
        if (decides && now < until) {
            queues.get(request.instance).offer(request, "", admission.order(request.admission, now), until);
            scheduleTry(request.instance, until);
        } else {
            refuse(request);
        }
    }

    private void scheduleTry(int instance, long until) {
        schedule(Math.min(until, now + TRY_INTERVAL_MILLIS), () -> {
            tryWaiting(instance, Optional.empty());
            if (!queues.get(instance).isEmpty()) {
                scheduleTry(instance, queues.get(instance).nextEndMillis());
            }
        });
    }

    private void tryWaiting(int instance, Optional<RequestOrder> aheadOf) {
        queues.get(instance).lookAgain(now, aheadOf, this::trySend, this::refuse);
    }

    private boolean trySend(Request request) {
        QueueAllowance allowance = decides
                ? admissions.get(request.instance).allowance(request.admission, () -> "", now)
                : QueueAllowance.of(
                        request.kind.urgencyRank(),
                        request.kind.objectiveMillis(),
                        now - request.admission.arrivedMillis(),
                        request.admission.deadlineMillis() - now);
        int best = -1;
        for (int target = 0; target < load.length; target++) {
            if (hasPermit(target) && (best < 0 || load[target] < load[best])) {
                best = target;
            }
        }
        if (best < 0) {
            return false;
        }
        double usable =
                Math.max(slotsPerTarget, slotsPerTarget * allowance.allowedMillis() / request.kind.serviceMillis());
        double longest = slotsPerTarget * (1 + MAX_QUEUED_PER_SLOT * allowance.lengthFactor());
        if (load[best] + 1 > usable || load[best] >= longest) {
            return false;
        }
        Result result = result(request.kind);
        result.longestWaitMillis = Math.max(result.longestWaitMillis, now - request.admission.arrivedMillis());
        run(request, best);
        return true;
    }

    private void run(Request request, int target) {
        load[target]++;
        if (now < coldUntilMillis[target]) {
            nextPermitMillis[target] = now + (long) (1_000 / coldPermitsPerSecond[target]);
        }
        int slot = target * slotsPerTarget;
        for (int other = slot; other < (target + 1) * slotsPerTarget; other++) {
            slot = busyUntil[other] < busyUntil[slot] ? other : slot;
        }
        double start = Math.max(now, busyUntil[slot]);
        busyUntil[slot] = start + request.kind.serviceMillis() * (0.6 + 0.8 * random.nextDouble());
        long sentMillis = now;
        schedule((long) Math.ceil(busyUntil[slot]), () -> {
            load[target]--;
            admissions.get(request.instance).onServed(request.admission, now - sentMillis, now);
            Result result = result(request.kind);
            if (now - request.firstArrivalMillis <= request.kind.objectiveMillis()) {
                result.inTime++;
            } else if (now - request.firstArrivalMillis <= request.kind.deadlineMillis()) {
                result.late++;
            }
            tryWaiting(request.instance, Optional.empty());
        });
    }

    private void refuse(Request request) {
        Result result = result(request.kind);
        result.refusals++;
        if (request.returned) {
            result.refusedTwice++;
            return;
        }
        PoolAdmission admission = admissions.get(request.instance);
        admission.onRefused(now);
        long delayMillis = decides ? returnAfter(request, admission) : formerReturnAfter(request);
        schedule(now + delayMillis, () -> arrive(request.kind, request.firstArrivalMillis, true));
    }

    /** Returns the former time: that of the holder until its queue is short again, or 200 ms in a pool. */
    private long formerReturnAfter(Request request) {
        if (!isOneHolder()) {
            return 200;
        }
        double usable = slotsPerTarget * request.kind.objectiveMillis() * 0.8 / request.kind.serviceMillis();
        return (long) (Math.max(1, load[0] + 1 - usable) * request.kind.serviceMillis() / slotsPerTarget);
    }

    /** Returns whether the only target stands for the owner of a key. */
    private boolean isOneHolder() {
        return load.length == 1;
    }

    private long returnAfter(Request request, PoolAdmission admission) {
        ReturnWindow window = ReturnWindow.of(
                0,
                request.admission.deadlineMillis() - now,
                request.admission.objectiveRemainingMillis(now),
                admission.meanResponseMillis());
        double spacingMillis = request.kind.serviceMillis() / slotsPerTarget * admissions.size();
        OptionalLong place = isOneHolder()
                ? admission.promisePlaceAt("holder", spacingMillis, window, now)
                : admission.promisePlace(window, now);
        return place.orElseGet(() -> admission.latestReturnMillis(window));
    }
}
