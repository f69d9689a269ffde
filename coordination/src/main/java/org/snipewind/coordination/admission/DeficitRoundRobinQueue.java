package org.snipewind.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * The queued requests of one priority class, scheduled by deficit round robin over the organisations.
 *
 * <p>The algorithm is that of Shreedhar and Varghese, Efficient fair queuing using deficit round robin, 1995. The
 * quantum of an organisation is its weight times the largest cost among all organisations with queued requests, so each
 * visit to an organisation dequeues at least one request.
 *
 * @param <T> type of the payload of a request
 */
final class DeficitRoundRobinQueue<T> {

    private final ToIntFunction<String> weightOf;
    private final ToDoubleFunction<String> costMillisOf;
    private final Map<String, OrganisationQueue<T>> queues = new LinkedHashMap<>();
    private final Deque<String> turnOrder = new ArrayDeque<>();
    /** Whether the organisation at the head of the turn order has received the quantum of this visit. */
    private boolean quantumGranted;

    DeficitRoundRobinQueue(ToIntFunction<String> weightOf, ToDoubleFunction<String> costMillisOf) {
        this.weightOf = weightOf;
        this.costMillisOf = costMillisOf;
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    void add(QueuedRequest<T> request) {
        String organisation = request.organisation();
        if (!queues.containsKey(organisation)) {
            queues.put(organisation, new OrganisationQueue<>());
            turnOrder.addLast(organisation);
        }
        queues.get(organisation).requests.addLast(request);
    }

    /** Removes and returns the next request; the queue must not be empty. */
    QueuedRequest<T> removeNext() {
        while (true) {
            String organisation = turnOrder.getFirst();
            OrganisationQueue<T> queue = queues.get(organisation);
            double costMillis = costMillisOf.applyAsDouble(organisation);
            if (!quantumGranted) {
                queue.deficitMillis += weightOf.applyAsInt(organisation) * largestCostMillis();
                quantumGranted = true;
            }
            if (queue.deficitMillis >= costMillis) {
                queue.deficitMillis -= costMillis;
                QueuedRequest<T> request = queue.requests.getFirst();
                remove(request);
                return request;
            }
            turnOrder.addLast(turnOrder.removeFirst());
            quantumGranted = false;
        }
    }

    void remove(QueuedRequest<T> request) {
        String organisation = request.organisation();
        OrganisationQueue<T> queue = queues.get(organisation);
        queue.requests.removeFirstOccurrence(request);
        if (queue.requests.isEmpty()) {
            quantumGranted = quantumGranted && !turnOrder.getFirst().equals(organisation);
            queues.remove(organisation);
            turnOrder.remove(organisation);
        }
    }

    /** Lists the requests of an organisation from the newest to the oldest. */
    List<QueuedRequest<T>> newestFirst(String organisation) {
        List<QueuedRequest<T>> newestRequests = new ArrayList<>();
        if (queues.containsKey(organisation)) {
            queues.get(organisation).requests.descendingIterator().forEachRemaining(newestRequests::add);
        }
        return newestRequests;
    }

    /** Returns the expected service time of all queued requests. */
    double totalWorkMillis() {
        return queues.keySet().stream().mapToDouble(this::workMillisOf).sum();
    }

    /** Returns the expected service time of the requests that are scheduled before a new one of the organisation. */
    double workAheadMillis(String organisation) {
        double ownMillis = workMillisOf(organisation);
        double millisPerWeight =
                (ownMillis + costMillisOf.applyAsDouble(organisation)) / weightOf.applyAsInt(organisation);
        double othersMillis = queues.keySet().stream()
                .filter(other -> !other.equals(organisation))
                .mapToDouble(other -> Math.min(
                        workMillisOf(other),
                        Math.max(costMillisOf.applyAsDouble(other), millisPerWeight * weightOf.applyAsInt(other))))
                .sum();
        return ownMillis + othersMillis;
    }

    private double workMillisOf(String organisation) {
        OrganisationQueue<T> queue = queues.get(organisation);
        return queue == null ? 0 : queue.requests.size() * costMillisOf.applyAsDouble(organisation);
    }

    private double largestCostMillis() {
        return queues.keySet().stream().mapToDouble(costMillisOf).max().orElse(1);
    }

    private static final class OrganisationQueue<T> {
        private final Deque<QueuedRequest<T>> requests = new ArrayDeque<>();
        private double deficitMillis;
    }
}
