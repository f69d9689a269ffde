package org.snipewind.coordination.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Requests that wait for a free place in one pool, in the order in which they get the places; not thread-safe.
 *
 * @param <T> type of the requests, which are compared by identity
 */
public final class WaitingQueue<T> {

    /**
     * Requests for the same place that may find no room before the others are not tried any more. They mostly differ
     * little, and each try costs time in a large pool.
     */
    private static final int MAX_FAILED_TRIES = 3;

    private record Entry<T>(T request, String place, RequestOrder order, long untilMillis, long sequence) {

        boolean isAheadOf(RequestOrder other) {
            return order.compareTo(other) < 0;
        }
    }

    private final Comparator<Entry<T>> byOrder =
            Comparator.<Entry<T>, RequestOrder>comparing(Entry::order).thenComparingLong(Entry::sequence);
    private final TreeSet<Entry<T>> entries = new TreeSet<>(byOrder);
    private final Map<T, Entry<T>> entriesByRequest = new IdentityHashMap<>();
    private final int maxEntries;
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param maxEntries maximum number of requests
     */
    public WaitingQueue(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /**
     * Adds a request unless the queue is full. No request is evicted, as those that wait may be nearly complete.
     *
     * @param request the request
     * @param place name of the place for which it waits: a target, or the same text for any target of the pool
     * @param order order of the request
     * @param untilMillis time at which its wait ends
     * @return false if the queue is full
     */
    public boolean offer(T request, String place, RequestOrder order, long untilMillis) {
        if (entries.size() >= maxEntries) {
            return false;
        }
        insert(new Entry<>(request, place, order, untilMillis, nextSequence++));
        return true;
    }

    /**
     * Removes a request, if it waits.
     *
     * @param request the request
     */
    public void remove(T request) {
        Entry<T> entry = entriesByRequest.remove(request);
        if (entry != null) {
            entries.remove(entry);
        }
    }

    /**
     * Returns whether no request waits.
     *
     * @return true if the queue is empty
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns the time at which the next wait ends.
     *
     * @return the time, {@link Long#MAX_VALUE} if no request waits
     */
    public long nextEndMillis() {
        return entries.stream().mapToLong(Entry::untilMillis).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Tries to send the requests in their order, and ends the waits whose time is up. A request that fails does not
     * hold up those for other places.
     *
     * @param nowMillis current time
     * @param aheadOf tries only the requests that go ahead of this order, empty to try all
     * @param trySend tries to send a request; returns false if it still has to wait
     * @param endWait called for a request whose time is up and that was not sent
     */
    public void lookAgain(long nowMillis, Optional<RequestOrder> aheadOf, Predicate<T> trySend, Consumer<T> endWait) {
        Map<String, Integer> failedTries = new HashMap<>();
        for (Entry<T> entry : List.copyOf(entries)) {
            boolean tried = aheadOf.isEmpty() || entry.isAheadOf(aheadOf.get());
            // The request may have left while others were tried.
            if (!tried || !entries.contains(entry)) {
                continue;
            }
            // It is removed first, as a request that was sent and rejected at once may wait again.
            remove(entry.request());
            if (failedTries.getOrDefault(entry.place(), 0) < MAX_FAILED_TRIES) {
                if (trySend.test(entry.request())) {
                    continue;
                }
                failedTries.merge(entry.place(), 1, Integer::sum);
            }
            if (entry.untilMillis() <= nowMillis) {
                endWait.accept(entry.request());
            } else {
                insert(entry);
            }
        }
    }

    private void insert(Entry<T> entry) {
        entries.add(entry);
        entriesByRequest.put(entry.request(), entry);
    }
}
