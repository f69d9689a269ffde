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
 * The requests that wait for one target: fair by organisation, urgent ones first, bounded by deadline and size.
 *
 * <p>The class is not thread-safe: the caller guards it by the lock of its target.
 *
 * @param <T> type of the work
 */
public final class AdmissionQueue<T> {

    /** Urgent requests admitted in a row while ordinary ones wait, so that ordinary work is never starved. */
    private static final int URGENT_IN_A_ROW = 4;

    /** Weight of one observation in an organisation's average service time. */
    private static final double OBSERVATION_WEIGHT = 0.1;

    private static final double SMALLEST_COST_MILLIS = 0.1;

    private final MillisClock clock;
    private final AdmissionLimits limits;
    private final ToIntFunction<String> weightOf;
    private final DeficitRoundRobinQueue<T> urgent;
    private final DeficitRoundRobinQueue<T> ordinary;
    private final Map<String, QueuedRequest<T>> tickets = new LinkedHashMap<>();
    private final Map<String, Usage> usages = new HashMap<>();
    private final Map<String, Double> serviceMillisOf = new HashMap<>();
    private final List<QueuedRequest<T>> evicted = new ArrayList<>();
    private double typicalServiceMillis = 1;
    private int urgentInARow;
    private long bytes;

    /**
     * Creates an empty queue.
     *
     * @param clock the clock that deadlines are compared with
     * @param limits limits of the queue
     * @param weightOf weight of an organisation by its name; values below 1 count as 1
     */
    public AdmissionQueue(MillisClock clock, AdmissionLimits limits, ToIntFunction<String> weightOf) {
        this.clock = clock;
        this.limits = limits;
        this.weightOf = organisation -> Math.max(1, weightOf.applyAsInt(organisation));
        this.urgent = new DeficitRoundRobinQueue<>(this.weightOf, this::costOf);
        this.ordinary = new DeficitRoundRobinQueue<>(this.weightOf, this::costOf);
    }

    /**
     * Adds a request if it can be answered in time and there is room.
     *
     * <p>In a full queue the organisation with the largest use per weight of what is short, entries or bytes, gives
     * way: its newest requests are evicted, and the caller refuses those that {@link #takeEvicted} gives.
     *
     * @param ticket the request
     * @param slots requests that the target runs at a time
     * @param serviceMillis expected service time of the request in milliseconds
     * @return the refusal, or empty if the request waits
     */
    public Optional<Refusal> offer(QueuedRequest<T> ticket, int slots, double serviceMillis) {
        typicalServiceMillis = Math.max(SMALLEST_COST_MILLIS, serviceMillis);
        if (tickets.containsKey(ticket.id())) {
            return Optional.of(Refusal.of(ErrorKind.DUPLICATE_REQUEST, "a request with this id waits already"));
        }
        double late = clock.nowMillis() + waitMillis(ticket, slots) + serviceMillis - ticket.deadlineMillis();
        if (late > 0) {
            return Optional.of(new Refusal(
                    ErrorKind.OVERLOADED, "the target's queue leaves no room before the deadline", Optional.of((long)
                            Math.ceil(late))));
        }
        if (!hasRoomFor(ticket, Usage.NONE) && !makeRoomFor(ticket)) {
            long oneService = (long) Math.ceil(typicalServiceMillis / Math.max(1, slots));
            return Optional.of(
                    new Refusal(ErrorKind.QUEUE_FULL, "the target's queue is full", Optional.of(oneService)));
        }
        tickets.put(ticket.id(), ticket);
        classOf(ticket).add(ticket);
        bytes += ticket.bytes();
        usages.merge(ticket.organisation(), Usage.of(ticket), Usage::plus);
        return Optional.empty();
    }

    /**
     * Takes the next request to send; expired ones are not skipped, so call {@link #removeExpired} before.
     *
     * @return the request, or empty if none waits
     */
    public Optional<QueuedRequest<T>> poll() {
        if (tickets.isEmpty()) {
            return Optional.empty();
        }
        boolean ordinaryWaits = !ordinary.isEmpty();
        boolean takesUrgent = !urgent.isEmpty() && !(ordinaryWaits && urgentInARow >= URGENT_IN_A_ROW);
        urgentInARow = takesUrgent && ordinaryWaits ? urgentInARow + 1 : 0;
        QueuedRequest<T> ticket = (takesUrgent ? urgent : ordinary).next();
        forget(ticket);
        return Optional.of(ticket);
    }

    /**
     * Feeds the average service time of an organisation, which is the cost of its requests in the round robin.
     *
     * @param organisation name of the organisation
     * @param millis service time of one request in milliseconds
     */
    public void recordServiceTime(String organisation, double millis) {
        serviceMillisOf.merge(
                organisation,
                Math.max(SMALLEST_COST_MILLIS, millis),
                (average, observed) -> average + OBSERVATION_WEIGHT * (observed - average));
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @return the removed requests
     */
    public List<QueuedRequest<T>> removeExpired() {
        long now = clock.nowMillis();
        List<QueuedRequest<T>> removed = removeIf(ticket -> ticket.deadlineMillis() <= now);
        evicted.stream().filter(ticket -> ticket.deadlineMillis() <= now).forEach(removed::add);
        evicted.removeAll(removed);
        return removed;
    }

    /**
     * Removes one request.
     *
     * @param id id of the request
     * @return the request, or empty if it does not wait
     */
    public Optional<QueuedRequest<T>> remove(String id) {
        Optional<QueuedRequest<T>> found = Optional.ofNullable(tickets.get(id));
        found.ifPresent(this::withdraw);
        return found;
    }

    /**
     * Removes the requests that fulfil a condition.
     *
     * @param condition the condition
     * @return the removed requests in the order of their arrival
     */
    public List<QueuedRequest<T>> removeIf(Predicate<? super QueuedRequest<T>> condition) {
        List<QueuedRequest<T>> removed =
                new ArrayList<>(tickets.values().stream().filter(condition).toList());
        removed.forEach(this::withdraw);
        return removed;
    }

    /**
     * Takes the requests that gave way to others since the last call; the caller refuses them as queue full.
     *
     * @return the evicted requests
     */
    public List<QueuedRequest<T>> takeEvicted() {
        List<QueuedRequest<T>> taken = List.copyOf(evicted);
        evicted.clear();
        return taken;
    }

    /**
     * Counts the requests that wait.
     *
     * @return number of requests
     */
    public int size() {
        return tickets.size();
    }

    /**
     * Sums up the sizes of the requests that wait.
     *
     * @return number of bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Removes all requests, also those evicted and not yet taken.
     *
     * @return the removed requests
     */
    public List<QueuedRequest<T>> removeAll() {
        List<QueuedRequest<T>> removed = removeIf(ticket -> true);
        removed.addAll(takeEvicted());
        return removed;
    }

    private double waitMillis(QueuedRequest<T> ticket, int slots) {
        double ahead = classOf(ticket).workAhead(ticket.organisation());
        // The other class gets at most 4 of 5 admissions if it is the urgent one, at most 1 of 5 if the ordinary one.
        double ofOtherClass = ticket.urgent()
                ? Math.min(ordinary.work(), ahead / URGENT_IN_A_ROW)
                : Math.min(urgent.work(), (ahead + costOf(ticket.organisation())) * URGENT_IN_A_ROW);
        return (ahead + ofOtherClass) / Math.max(1, slots);
    }

    private boolean makeRoomFor(QueuedRequest<T> ticket) {
        String organisation = ticket.organisation();
        Usage wanted = usages.getOrDefault(organisation, Usage.NONE).plus(Usage.of(ticket));
        boolean bytesAreShort = bytes + ticket.bytes() > limits.maxBytes();
        double ownShare = share(organisation, wanted, bytesAreShort);
        String largest = usages.keySet().stream()
                .max(Comparator.comparingDouble(name -> share(name, usages.get(name), bytesAreShort)))
                .orElse(organisation);
        List<QueuedRequest<T>> mayGiveWay = new ArrayList<>(ordinary.newestFirst(largest));
        if (ticket.urgent()) {
            mayGiveWay.addAll(urgent.newestFirst(largest));
        }
        List<QueuedRequest<T>> victims = new ArrayList<>();
        Usage freed = Usage.NONE;
        for (QueuedRequest<T> victim : mayGiveWay) {
            if (share(largest, usages.get(largest).minus(freed), bytesAreShort) <= ownShare) {
                return false;
            }
            victims.add(victim);
            freed = freed.plus(Usage.of(victim));
            if (hasRoomFor(ticket, freed)) {
                victims.forEach(this::withdraw);
                evicted.addAll(victims);
                return true;
            }
        }
        return false;
    }

    private boolean hasRoomFor(QueuedRequest<T> ticket, Usage freed) {
        return tickets.size() - freed.entries() < limits.maxEntries()
                && bytes - freed.bytes() + ticket.bytes() <= limits.maxBytes();
    }

    private double share(String organisation, Usage usage, boolean ofBytes) {
        return (ofBytes ? usage.bytes() : usage.entries()) / (double) weightOf.applyAsInt(organisation);
    }

    private double costOf(String organisation) {
        return serviceMillisOf.getOrDefault(organisation, typicalServiceMillis);
    }

    private DeficitRoundRobinQueue<T> classOf(QueuedRequest<T> ticket) {
        return ticket.urgent() ? urgent : ordinary;
    }

    private void withdraw(QueuedRequest<T> ticket) {
        classOf(ticket).remove(ticket);
        forget(ticket);
    }

    private void forget(QueuedRequest<T> ticket) {
        tickets.remove(ticket.id());
        bytes -= ticket.bytes();
        Usage rest = usages.get(ticket.organisation()).minus(Usage.of(ticket));
        if (rest.entries() == 0) {
            usages.remove(ticket.organisation());
        } else {
            usages.put(ticket.organisation(), rest);
        }
    }

    private record Usage(int entries, long bytes) {

        static final Usage NONE = new Usage(0, 0);

        static Usage of(QueuedRequest<?> ticket) {
            return new Usage(1, ticket.bytes());
        }

        Usage plus(Usage other) {
            return new Usage(entries + other.entries, bytes + other.bytes);
        }

        Usage minus(Usage other) {
            return new Usage(entries - other.entries, bytes - other.bytes);
        }
    }
}
