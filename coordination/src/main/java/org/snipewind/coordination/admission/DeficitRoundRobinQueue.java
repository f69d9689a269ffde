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
 * One class of waiting requests, served by deficit round robin over organisations.
 *
 * <p>Shreedhar and Varghese, Efficient fair queuing using deficit round robin, 1995. The quantum is the largest cost
 * among the waiting organisations times the weight, so each visit serves at least one request.
 */
final class DeficitRoundRobinQueue<T> {

    private final ToIntFunction<String> weightOf;
    private final ToDoubleFunction<String> costOf;
    private final Map<String, Line<T>> lines = new LinkedHashMap<>();
    private final Deque<String> turns = new ArrayDeque<>();
    private boolean visited;

    DeficitRoundRobinQueue(ToIntFunction<String> weightOf, ToDoubleFunction<String> costOf) {
        this.weightOf = weightOf;
        this.costOf = costOf;
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    void add(QueuedRequest<T> ticket) {
        String organisation = ticket.organisation();
        if (!lines.containsKey(organisation)) {
            lines.put(organisation, new Line<>());
            turns.addLast(organisation);
        }
        lines.get(organisation).tickets.addLast(ticket);
    }

    QueuedRequest<T> next() {
        while (true) {
            String organisation = turns.getFirst();
            Line<T> line = lines.get(organisation);
            double cost = costOf.applyAsDouble(organisation);
            if (!visited) {
                line.deficit += weightOf.applyAsInt(organisation) * largestCost();
                visited = true;
            }
            if (line.deficit >= cost) {
                line.deficit -= cost;
                QueuedRequest<T> ticket = line.tickets.getFirst();
                remove(ticket);
                return ticket;
            }
            turns.addLast(turns.removeFirst());
            visited = false;
        }
    }

    void remove(QueuedRequest<T> ticket) {
        String organisation = ticket.organisation();
        Line<T> line = lines.get(organisation);
        line.tickets.removeFirstOccurrence(ticket);
        if (line.tickets.isEmpty()) {
            visited = visited && !turns.getFirst().equals(organisation);
            lines.remove(organisation);
            turns.remove(organisation);
        }
    }

    List<QueuedRequest<T>> newestFirst(String organisation) {
        List<QueuedRequest<T>> newest = new ArrayList<>();
        if (lines.containsKey(organisation)) {
            lines.get(organisation).tickets.descendingIterator().forEachRemaining(newest::add);
        }
        return newest;
    }

    /** Work of the whole class in milliseconds of service. */
    double work() {
        return lines.keySet().stream().mapToDouble(this::workOf).sum();
    }

    /** Work that round robin serves before a new request of the organisation, in milliseconds of service. */
    double workAhead(String organisation) {
        double own = workOf(organisation);
        double perWeight = (own + costOf.applyAsDouble(organisation)) / weightOf.applyAsInt(organisation);
        double others = lines.keySet().stream()
                .filter(other -> !other.equals(organisation))
                .mapToDouble(other -> Math.min(
                        workOf(other), Math.max(costOf.applyAsDouble(other), perWeight * weightOf.applyAsInt(other))))
                .sum();
        return own + others;
    }

    private double workOf(String organisation) {
        Line<T> line = lines.get(organisation);
        return line == null ? 0 : line.tickets.size() * costOf.applyAsDouble(organisation);
    }

    private double largestCost() {
        return lines.keySet().stream().mapToDouble(costOf).max().orElse(1);
    }

    private static final class Line<T> {
        private final Deque<QueuedRequest<T>> tickets = new ArrayDeque<>();
        private double deficit;
    }
}
