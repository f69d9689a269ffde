package org.snipewind.coordination.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/**
 * A bounded queue of the requests for one target, with fair scheduling between organisations and priority for urgent
 * requests. A request that is not expected to meet its deadline is refused at once.
 *
 * <p>The class is not thread-safe: the caller guards it by the lock of its target.
 *
 * @param <T> type of the payload of a request
 */
public final class AdmissionQueue<T> {

    /** Most urgent requests admitted in a row while ordinary ones are queued, so that those are never starved. */
    private static final int MAX_CONSECUTIVE_URGENT = 4;

    /** Weight of one measurement in the moving average of an organisation's service time. */
    private static final double AVERAGE_WEIGHT = 0.1;

    private static final double MIN_COST_MILLIS = 0.1;

    private final MillisClock clock;
    private final AdmissionLimits limits;
    private final ToIntFunction<String> weightOf;
    private final DeficitRoundRobinQueue<T> urgent;
    private final DeficitRoundRobinQueue<T> ordinary;
    private final Map<String, QueuedRequest<T>> requests = new LinkedHashMap<>();
    private final Map<String, Usage> usageByOrganisation = new HashMap<>();
    private final Map<String, Double> averageServiceMillis = new HashMap<>();
    private final List<QueuedRequest<T>> evicted = new ArrayList<>();
    private double defaultServiceMillis = 1;
    private int consecutiveUrgent;
    private long bytes;

    /**
     * Creates an empty queue.
     *
     * @param clock the clock on which the deadlines are based
     * @param limits capacity of the queue
     * @param weightOf returns the weight of an organisation by its name; values below 1 count as 1
     */
    public AdmissionQueue(MillisClock clock, AdmissionLimits limits, ToIntFunction<String> weightOf) {
        this.clock = clock;
        this.limits = limits;
        this.weightOf = organisation -> Math.max(1, weightOf.applyAsInt(organisation));
        this.urgent = new DeficitRoundRobinQueue<>(this.weightOf, this::costMillisOf);
        this.ordinary = new DeficitRoundRobinQueue<>(this.weightOf, this::costMillisOf);
    }

    /**
     * Adds a request if its response is expected before the deadline and the queue has capacity.
     *
     * <p>If the queue is full, the newest requests of the organisation with the largest usage per weight of the
     * exhausted limit, entries or bytes, are evicted. The caller refuses the requests that {@link #takeEvicted}
     * returns.
     *
     * @param request the request
     * @param slots maximum number of concurrent requests of the target
     * @param serviceMillis expected service time of the request in milliseconds
     * @return the refusal, or empty if the request was queued
     */
    public Optional<Refusal> offer(QueuedRequest<T> request, int slots, double serviceMillis) {
        defaultServiceMillis = Math.max(MIN_COST_MILLIS, serviceMillis);
        if (requests.containsKey(request.id())) {
            return Optional.of(Refusal.of(ErrorKind.DUPLICATE_REQUEST, "a request with this id waits already"));
        }
        double latenessMillis =
                clock.nowMillis() + expectedWaitMillis(request, slots) + serviceMillis - request.deadlineMillis();
        if (latenessMillis > 0) {
            return Optional.of(new Refusal(
                    ErrorKind.OVERLOADED, "the target's queue leaves no room before the deadline", Optional.of((long)
                            Math.ceil(latenessMillis))));
        }
        if (!hasRoomFor(request, Usage.NONE) && !evictFor(request)) {
            long serviceIntervalMillis = (long) Math.ceil(defaultServiceMillis / Math.max(1, slots));
            return Optional.of(new Refusal(
                    ErrorKind.QUEUE_FULL, "the target's queue is full", Optional.of(serviceIntervalMillis)));
        }
        requests.put(request.id(), request);
        queueOf(request).add(request);
        bytes += request.bytes();
        usageByOrganisation.merge(request.organisation(), Usage.of(request), Usage::plus);
        return Optional.empty();
    }

    /**
     * Removes the next request to send. Expired requests are not skipped, so call {@link #removeExpired} first.
     *
     * @return the request, or empty if the queue is empty
     */
    public Optional<QueuedRequest<T>> poll() {
        if (requests.isEmpty()) {
            return Optional.empty();
        }
        boolean ordinaryWaits = !ordinary.isEmpty();
        boolean takesUrgent = !urgent.isEmpty() && !(ordinaryWaits && consecutiveUrgent >= MAX_CONSECUTIVE_URGENT);
        consecutiveUrgent = takesUrgent && ordinaryWaits ? consecutiveUrgent + 1 : 0;
        QueuedRequest<T> request = (takesUrgent ? urgent : ordinary).removeNext();
        unregister(request);
        return Optional.of(request);
    }

    /**
     * Updates the average service time of an organisation, which is the cost of its requests in the round robin.
     *
     * @param organisation name of the organisation
     * @param serviceMillis service time of one request in milliseconds
     */
    public void recordServiceTime(String organisation, double serviceMillis) {
        averageServiceMillis.merge(
                organisation,
                Math.max(MIN_COST_MILLIS, serviceMillis),
                (average, latest) -> average + AVERAGE_WEIGHT * (latest - average));
    }

    /**
     * Removes the requests whose deadline has passed, including evicted ones that were not taken yet.
     *
     * @return the removed requests
     */
    public List<QueuedRequest<T>> removeExpired() {
        long now = clock.nowMillis();
        List<QueuedRequest<T>> removed = removeIf(request -> request.deadlineMillis() <= now);
        evicted.stream().filter(request -> request.deadlineMillis() <= now).forEach(removed::add);
        evicted.removeAll(removed);
        return removed;
    }

    /**
     * Removes one request.
     *
     * @param id id of the request
     * @return the request, or empty if it is not queued
     */
    public Optional<QueuedRequest<T>> remove(String id) {
        Optional<QueuedRequest<T>> request = Optional.ofNullable(requests.get(id));
        request.ifPresent(this::removeQueued);
        return request;
    }

    /**
     * Removes the queued requests that match a condition.
     *
     * @param condition the condition
     * @return the removed requests in the order of their arrival
     */
    public List<QueuedRequest<T>> removeIf(Predicate<? super QueuedRequest<T>> condition) {
        List<QueuedRequest<T>> removed =
                new ArrayList<>(requests.values().stream().filter(condition).toList());
        removed.forEach(this::removeQueued);
        return removed;
    }

    /**
     * Returns and clears the requests evicted since the last call; the caller refuses them because the queue is full.
     *
     * @return the evicted requests
     */
    public List<QueuedRequest<T>> takeEvicted() {
        List<QueuedRequest<T>> result = List.copyOf(evicted);
        evicted.clear();
        return result;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return number of requests
     */
    public int size() {
        return requests.size();
    }

    /**
     * Returns the total size of the queued requests.
     *
     * @return size in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Removes all requests, including evicted ones that were not taken yet.
     *
     * @return the removed requests
     */
    public List<QueuedRequest<T>> removeAll() {
        List<QueuedRequest<T>> removed = removeIf(request -> true);
        removed.addAll(takeEvicted());
        return removed;
    }

    private double expectedWaitMillis(QueuedRequest<T> request, int slots) {
        double aheadMillis = queueOf(request).workAheadMillis(request.organisation());
        // The other class gets at most 4 of 5 admissions if it is the urgent one, and at most 1 of 5 if it is ordinary.
        double otherClassMillis = request.urgent()
                ? Math.min(ordinary.totalWorkMillis(), aheadMillis / MAX_CONSECUTIVE_URGENT)
                : Math.min(
                        urgent.totalWorkMillis(),
                        (aheadMillis + costMillisOf(request.organisation())) * MAX_CONSECUTIVE_URGENT);
        return (aheadMillis + otherClassMillis) / Math.max(1, slots);
    }

    /**
     * Evicts the newest requests of the organisation with the largest usage per weight until the given request fits.
     * Ordinary requests evict only ordinary ones. Nothing is evicted unless that organisation keeps a larger usage per
     * weight than the one of the new request before each eviction.
     */
    private boolean evictFor(QueuedRequest<T> request) {
        String organisation = request.organisation();
        Usage usageIfAdmitted =
                usageByOrganisation.getOrDefault(organisation, Usage.NONE).plus(Usage.of(request));
        boolean limitedByBytes = bytes + request.bytes() > limits.maxBytes();
        double ownUsagePerWeight = usagePerWeight(organisation, usageIfAdmitted, limitedByBytes);
        String largestUser = usageByOrganisation.keySet().stream()
                .max(Comparator.comparingDouble(
                        name -> usagePerWeight(name, usageByOrganisation.get(name), limitedByBytes)))
                .orElse(organisation);
        List<QueuedRequest<T>> candidates = new ArrayList<>(ordinary.newestFirst(largestUser));
        if (request.urgent()) {
            candidates.addAll(urgent.newestFirst(largestUser));
        }
        List<QueuedRequest<T>> toEvict = new ArrayList<>();
        Usage freed = Usage.NONE;
        for (QueuedRequest<T> candidate : candidates) {
            if (usagePerWeight(largestUser, usageByOrganisation.get(largestUser).minus(freed), limitedByBytes)
                    <= ownUsagePerWeight) {
                return false;
            }
            toEvict.add(candidate);
            freed = freed.plus(Usage.of(candidate));
            if (hasRoomFor(request, freed)) {
                toEvict.forEach(this::removeQueued);
                evicted.addAll(toEvict);
                return true;
            }
        }
        return false;
    }

    private boolean hasRoomFor(QueuedRequest<T> request, Usage freed) {
        return requests.size() - freed.entries() < limits.maxEntries()
                && bytes - freed.bytes() + request.bytes() <= limits.maxBytes();
    }

    private double usagePerWeight(String organisation, Usage usage, boolean inBytes) {
        return (inBytes ? usage.bytes() : usage.entries()) / (double) weightOf.applyAsInt(organisation);
    }

    private double costMillisOf(String organisation) {
        return averageServiceMillis.getOrDefault(organisation, defaultServiceMillis);
    }

    private DeficitRoundRobinQueue<T> queueOf(QueuedRequest<T> request) {
        return request.urgent() ? urgent : ordinary;
    }

    private void removeQueued(QueuedRequest<T> request) {
        queueOf(request).remove(request);
        unregister(request);
    }

    /** Removes a request that has left the queue of its class from the index and the totals. */
    private void unregister(QueuedRequest<T> request) {
        requests.remove(request.id());
        bytes -= request.bytes();
        Usage remaining = usageByOrganisation.get(request.organisation()).minus(Usage.of(request));
        if (remaining.entries() == 0) {
            usageByOrganisation.remove(request.organisation());
        } else {
            usageByOrganisation.put(request.organisation(), remaining);
        }
    }

    /** The part of the queue that is used by one organisation or request. */
    private record Usage(int entries, long bytes) {

        static final Usage NONE = new Usage(0, 0);

        static Usage of(QueuedRequest<?> request) {
            return new Usage(1, request.bytes());
        }

        Usage plus(Usage other) {
            return new Usage(entries + other.entries, bytes + other.bytes);
        }

        Usage minus(Usage other) {
            return new Usage(entries - other.entries, bytes - other.bytes);
        }
    }
}
