package org.snipewind.standins.target;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipewind.clients.transport.JsonCodec;

/** Keeps all executions and all times during which slices were held. */
final class Recorder {

    private final List<ExecutionRecord> executions = new ArrayList<>();
    private final List<GrantInterval> closedIntervals = new ArrayList<>();
    private final Map<Integer, GrantInterval> openIntervals = new LinkedHashMap<>();

    synchronized int started(ExecutionRecord execution) {
        executions.add(execution);
        return executions.size() - 1;
    }

    synchronized void ended(int position, String outcome) {
        executions.set(position, executions.get(position).ended(EpochMicros.now(), outcome));
    }

    synchronized void granted(String target, String incarnation, Set<Integer> slices, long token, long untilMicros) {
        long now = EpochMicros.now();
        for (GrantInterval open : List.copyOf(openIntervals.values())) {
            boolean goesOn = slices.contains(open.slice())
                    && open.token() == token
                    && open.incarnation().equals(incarnation)
                    && open.untilMicros() >= now;
            if (!goesOn) {
                openIntervals.remove(open.slice());
                closedIntervals.add(until(open, Math.min(now, open.untilMicros())));
            }
        }
        if (untilMicros <= now) {
            return;
        }
        for (int slice : slices) {
            GrantInterval open = openIntervals.get(slice);
            openIntervals.put(
                    slice,
                    open == null
                            ? new GrantInterval(target, incarnation, slice, token, now, untilMicros)
                            : until(open, Math.max(open.untilMicros(), untilMicros)));
        }
    }

    synchronized List<ExecutionRecord> executions() {
        return List.copyOf(executions);
    }

    synchronized List<GrantInterval> intervals() {
        List<GrantInterval> all = new ArrayList<>(closedIntervals);
        all.addAll(openIntervals.values());
        return all;
    }

    static String jsonLines(List<?> values) {
        StringBuilder lines = new StringBuilder();
        for (Object value : values) {
            lines.append(new String(JsonCodec.encode(value), StandardCharsets.UTF_8))
                    .append('\n');
        }
        return lines.toString();
    }

    private static GrantInterval until(GrantInterval interval, long untilMicros) {
        return new GrantInterval(
                interval.target(),
                interval.incarnation(),
                interval.slice(),
                interval.token(),
                interval.fromMicros(),
                untilMicros);
    }
}
