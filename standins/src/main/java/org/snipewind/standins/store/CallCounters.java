package org.snipewind.standins.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.snipewind.coordination.clock.MillisClock;

/** Counts calls by kind and by caller, and computes call rates over the last {@value #WINDOW_SECONDS} s. */
final class CallCounters {

    private static final int WINDOW_SECONDS = 10;

    private final MillisClock clock;
    private final Map<String, Long> byKind = new TreeMap<>(Map.of("get", 0L, "swap", 0L, "watch", 0L));
    private final Map<String, Long> byCaller = new TreeMap<>();
    private final Deque<SecondCounts> seconds = new ArrayDeque<>();

    CallCounters(MillisClock clock) {
        this.clock = clock;
    }

    void count(String kind, String caller) {
        byKind.merge(kind, 1L, Long::sum);
        byCaller.merge(caller, 1L, Long::sum);
        currentSecond().counts().merge(kind, 1L, Long::sum);
    }

    Map<String, Long> byKind() {
        return Map.copyOf(byKind);
    }

    Map<String, Long> byCaller() {
        return Map.copyOf(byCaller);
    }

    Map<String, Double> ratesPerSecond() {
        long nowSeconds = currentSecond().second();
        Map<String, Double> rates = new TreeMap<>();
        byKind.keySet().forEach(kind -> rates.put(kind, 0.0));
        for (SecondCounts second : seconds) {
            if (second.second() < nowSeconds) {
                second.counts()
                        .forEach((kind, count) -> rates.merge(kind, count / (double) WINDOW_SECONDS, Double::sum));
            }
        }
        return rates;
    }

    private SecondCounts currentSecond() {
        long second = clock.nowMillis() / 1_000;
        if (seconds.isEmpty() || seconds.getLast().second() != second) {
            seconds.addLast(new SecondCounts(second, new TreeMap<>()));
        }
        while (seconds.getFirst().second() < second - WINDOW_SECONDS) {
            seconds.removeFirst();
        }
        return seconds.getLast();
    }

    private record SecondCounts(long second, Map<String, Long> counts) {}
}
