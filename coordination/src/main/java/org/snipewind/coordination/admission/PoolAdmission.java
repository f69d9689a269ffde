package org.snipewind.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * What this instance knows about the room in one pool: completions, promised places, the shares of the routes and the
 * more urgent requests that lacked room. The state is soft and lost with the instance. All methods are synchronized.
 */
public final class PoolAdmission {

    /** Time after the last refusal for lack of room until the pool counts as having room again. */
    private static final long SHORTAGE_END_MILLIS = 2_000;

    /**
     * Time for which less urgent requests yield after a more urgent one lacked room. An instance of a large fleet has
     * only about one urgent request per second; with 1.5 s, it often forgot the shortage before the next one.
     */
    private static final long YIELD_MILLIS = 5_000;

    /** A route whose served share is below this fraction of the pool's is starved. */
    private static final double FLOOR_FRACTION = 0.25;

    /** Recent requests of a route that are needed to compare its share. */
    private static final double LEAST_OFFERED = 3;

    /** Urgency rank of the requests of a starved route, above that of any other. */
    private static final int STARVED_RANK = Integer.MAX_VALUE;

    /** Weight of the newest sample in the mean response time. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Part of the delay that is random for callers without a promised place, so that they return apart. */
    private static final double LATEST_SPREAD = 0.25;

    private record Waiter(String place, int urgencyRank) {}

    private record Lack(long atMillis, double objectiveMillis) {}

    private final DoubleSupplier random;
    private final CompletionRate completions = new CompletionRate();
    private final ReturnSchedule poolReturns = new ReturnSchedule();
    private final Map<String, ReturnSchedule> holderReturns = new HashMap<>();
    private final Map<String, UsualDeadline> usualDeadlines = new HashMap<>();
    private final Map<String, RouteShare> shares = new HashMap<>();
    private final Map<Waiter, Lack> lacks = new HashMap<>();
    private double meanResponseMillis;
    private boolean isShort;
    private long lastRefusedMillis;

    /**
     * Creates the state of a pool with room.
     *
     * @param random source of uniformly distributed random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public PoolAdmission(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Recognises a caller that was refused before by the time that it has left.
     *
     * @param route name of the route
     * @param remainingMillis time that the caller grants
     * @return time that the caller has used up before, 0 for a new request
     */
    public synchronized double elapsedBeforeMillis(String route, double remainingMillis) {
        return usualDeadlines
                .computeIfAbsent(route, name -> new UsualDeadline())
                .elapsedBefore(remainingMillis);
    }

    /**
     * Records a request that is to be sent to a target of the pool, as it is within the rate of its organisation.
     *
     * @param request the request
     * @param nowMillis current time
     */
    public synchronized void onOffered(AdmissionRequest request, long nowMillis) {
        shares.computeIfAbsent(request.route(), name -> new RouteShare()).recordOffered(nowMillis);
    }

    /**
     * Records a response to a request.
     *
     * @param request the request
     * @param responseMillis time of the target for the request
     * @param nowMillis current time
     */
    public synchronized void onServed(AdmissionRequest request, double responseMillis, long nowMillis) {
        completions.record(nowMillis);
        meanResponseMillis = meanResponseMillis == 0
                ? responseMillis
                : meanResponseMillis + SAMPLE_WEIGHT * (responseMillis - meanResponseMillis);
        shares.computeIfAbsent(request.route(), name -> new RouteShare()).recordServed(nowMillis);
    }

    /**
     * Records that a request lacked room: it found none, or a target rejected it.
     *
     * @param request the request
     * @param place the only target that can serve the request, or the same text for any target of the pool
     * @param nowMillis current time
     */
    public synchronized void onLackOfRoom(AdmissionRequest request, String place, long nowMillis) {
        lacks.values().removeIf(lack -> nowMillis - lack.atMillis() >= YIELD_MILLIS);
        lacks.put(new Waiter(place, request.urgencyRank()), new Lack(nowMillis, request.objectiveMillis()));
    }

    /**
     * Records a refusal for lack of room.
     *
     * @param nowMillis current time
     * @return true if the pool has begun to refuse requests
     */
    public synchronized boolean onRefused(long nowMillis) {
        lastRefusedMillis = nowMillis;
        boolean begins = !isShort;
        isShort = true;
        return begins;
    }

    /**
     * Checks whether the pool has stopped refusing requests.
     *
     * @param nowMillis current time
     * @return true if the pool refused requests before and has room again
     */
    public synchronized boolean endsShortage(long nowMillis) {
        boolean ends = isShort && nowMillis - lastRefusedMillis > SHORTAGE_END_MILLIS;
        isShort &= !ends;
        return ends;
    }

    /**
     * Returns the order of a request among those that wait for a place.
     *
     * @param request the request
     * @param nowMillis current time
     * @return the order
     */
    public synchronized RequestOrder order(AdmissionRequest request, long nowMillis) {
        int rank = isStarved(request.route(), nowMillis) ? STARVED_RANK : request.urgencyRank();
        return request.order(rank, nowMillis, meanResponseMillis);
    }

    /**
     * Determines the queue of a target that a request may join. As long as no request lacks room, it depends on the
     * request only.
     *
     * @param request the request
     * @param place finds the only target that can serve the request, or returns the same text for any target of the
     *     pool; used only while requests lack room
     * @param nowMillis current time
     * @return the allowance
     */
    public synchronized QueueAllowance allowance(AdmissionRequest request, Supplier<String> place, long nowMillis) {
        boolean starved = isStarved(request.route(), nowMillis);
        QueueAllowance allowance = QueueAllowance.of(
                starved ? STARVED_RANK : request.urgencyRank(),
                request.objectiveMillis(),
                nowMillis - request.arrivedMillis(),
                request.deadlineMillis() - nowMillis);
        if (request.standing(nowMillis, meanResponseMillis) == CallerStanding.LATE) {
            allowance = allowance.late();
        }
        return starved || lacks.isEmpty()
                ? allowance
                : restrict(allowance, request.urgencyRank(), place.get(), nowMillis);
    }

    private QueueAllowance restrict(QueueAllowance allowance, int rank, String place, long nowMillis) {
        double urgentObjectiveMillis = Double.MAX_VALUE;
        for (Map.Entry<Waiter, Lack> entry : lacks.entrySet()) {
            Waiter waiter = entry.getKey();
            Lack lack = entry.getValue();
            if (waiter.urgencyRank() > rank
                    && waiter.place().equals(place)
                    && nowMillis - lack.atMillis() < YIELD_MILLIS) {
                urgentObjectiveMillis = Math.min(urgentObjectiveMillis, lack.objectiveMillis());
            }
        }
        return urgentObjectiveMillis == Double.MAX_VALUE ? allowance : allowance.yielding(urgentObjectiveMillis);
    }

    /** Returns whether a smaller share of the route's requests is served than the floor allows. */
    private boolean isStarved(String route, long nowMillis) {
        if (!isShort || shares.size() < 2) {
            return false;
        }
        double offered = 0;
        double served = 0;
        for (RouteShare share : shares.values()) {
            offered += share.offered(nowMillis);
            served += share.served(nowMillis);
        }
        RouteShare own = shares.get(route);
        return own != null
                && own.offered(nowMillis) >= LEAST_OFFERED
                && own.served(nowMillis) * offered < own.offered(nowMillis) * served * FLOOR_FRACTION;
    }

    /**
     * Returns the mean time in which a target of the pool responds.
     *
     * @return milliseconds, 0 if no target has responded
     */
    public synchronized double meanResponseMillis() {
        return meanResponseMillis;
    }

    /**
     * Promises the next place of the pool to a refused caller. Places become free at the rate at which the pool
     * completes the requests of this instance.
     *
     * @param window times at which the caller can return
     * @param nowMillis current time
     * @return delay after which the caller should return, empty if no place becomes free in time
     */
    public synchronized OptionalLong promisePlace(ReturnWindow window, long nowMillis) {
        double perSecond = completions.perSecond(nowMillis);
        return poolReturns.promise(window, 1_000 / Math.max(1e-6, perSecond), nowMillis, random);
    }

    /**
     * Promises the next place of one target to a refused caller.
     *
     * @param holder incarnation of the target, which is the only one that can serve the request
     * @param spacingMillis time in which a place becomes free for this instance
     * @param window times at which the caller can return
     * @param nowMillis current time
     * @return delay after which the caller should return, empty if no place becomes free in time
     */
    public synchronized OptionalLong promisePlaceAt(
            String holder, double spacingMillis, ReturnWindow window, long nowMillis) {
        if (!holderReturns.containsKey(holder)) {
            holderReturns.values().removeIf(schedule -> !schedule.isActive(nowMillis));
        }
        return holderReturns
                .computeIfAbsent(holder, name -> new ReturnSchedule())
                .promise(window, spacingMillis, nowMillis, random);
    }

    /**
     * Returns when a caller without a promised place should return: as late as is useful, with a random part.
     *
     * @param window times at which the caller can return
     * @return delay in milliseconds
     */
    public synchronized long latestReturnMillis(ReturnWindow window) {
        return (long) (window.latestMillis() * (1 - LATEST_SPREAD * random.getAsDouble()));
    }
}
