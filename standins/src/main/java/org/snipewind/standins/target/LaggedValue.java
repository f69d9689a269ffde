package org.snipewind.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;
import org.snipewind.coordination.clock.MillisClock;

/** A value whose changes become visible to readers only after a lag. */
final class LaggedValue<T> {

    private final MillisClock clock;
    private final long lagMillis;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();

    LaggedValue(MillisClock clock, long lagMillis, T initialValue) {
        this.clock = clock;
        this.lagMillis = lagMillis;
        entries.add(new Entry<>(Long.MIN_VALUE, initialValue));
    }

    void set(T value) {
        if (!entries.getLast().value().equals(value)) {
            read();
            entries.addLast(new Entry<>(clock.nowMillis(), value));
        }
    }

    T read() {
        long visibleUntilMillis = clock.nowMillis() - lagMillis;
        Entry<T> visible = entries.getFirst();
        while (entries.size() > 1) {
            Entry<T> oldest = entries.removeFirst();
            if (entries.getFirst().changedAtMillis() > visibleUntilMillis) {
                entries.addFirst(oldest);
                break;
            }
            visible = entries.getFirst();
        }
        return visible.value();
    }

    private record Entry<T>(long changedAtMillis, T value) {}
}
