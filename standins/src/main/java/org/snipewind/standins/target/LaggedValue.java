package org.snipewind.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;
import org.snipewind.coordination.clock.MillisClock;

/** A value that readers see only after a lag. */
final class LaggedValue<T> {

    private final MillisClock clock;
    private final long lagMillis;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();

    LaggedValue(MillisClock clock, long lagMillis, T first) {
        this.clock = clock;
        this.lagMillis = lagMillis;
        entries.add(new Entry<>(Long.MIN_VALUE, first));
    }

    void set(T value) {
        if (!entries.getLast().value().equals(value)) {
            read();
            entries.addLast(new Entry<>(clock.nowMillis(), value));
        }
    }

    T read() {
        long shownUntil = clock.nowMillis() - lagMillis;
        Entry<T> shown = entries.getFirst();
        while (entries.size() > 1) {
            Entry<T> oldest = entries.removeFirst();
            if (entries.getFirst().atMillis() > shownUntil) {
                entries.addFirst(oldest);
                break;
            }
            shown = entries.getFirst();
        }
        return shown.value();
    }

    private record Entry<T>(long atMillis, T value) {}
}
