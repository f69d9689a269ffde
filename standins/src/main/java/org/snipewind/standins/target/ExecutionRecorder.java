package org.snipewind.standins.target;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipewind.clients.transport.JsonCodec;

/** Records all executions and all intervals during which the target held slices. */
final class ExecutionRecorder {

    private final List<ExecutionRecord> executions = new ArrayList<>();
    private final List<GrantInterval> closedIntervals = new ArrayList<>();
    private final Map<Integer, GrantInterval> openIntervals = new LinkedHashMap<>();

    synchronized int recordStart(ExecutionRecord execution) {
        executions.add(execution);
        return executions.size() - 1;
    }

    synchronized void recordEnd(int index, String outcome) {
        executions.set(index, executions.get(index).withEnd(EpochMicros.now(), outcome));
    }

    synchronized void recordGrant(
            String target, String incarnation, Set<Integer> slices, long token, long untilMicros) {
        long nowMicros = EpochMicros.now();
        for (GrantInterval open : List.copyOf(openIntervals.values())) {
            boolean continues = slices.contains(open.slice())
                    && open.token() == token
                    && open.incarnation().equals(incarnation)
                    && open.untilMicros() >= nowMicros;
            if (!continues) {
                openIntervals.remove(open.slice());
                closedIntervals.add(withEnd(open, Math.min(nowMicros, open.untilMicros())));
            }
        }
        if (untilMicros <= nowMicros) {
            return;
        }
        for (int slice : slices) {
            GrantInterval open = openIntervals.get(slice);
            openIntervals.put(
                    slice,
                    open == null
                            ? new GrantInterval(target, incarnation, slice, token, nowMicros, untilMicros)
                            : withEnd(open, Math.max(open.untilMicros(), untilMicros)));
        }
    }

    synchronized List<ExecutionRecord> executions() {
        return List.copyOf(executions);
    }

    synchronized List<GrantInterval> grantIntervals() {
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

    private static GrantInterval withEnd(GrantInterval interval, long untilMicros) {
        return new GrantInterval(
                interval.target(),
                interval.incarnation(),
                interval.slice(),
                interval.token(),
                interval.fromMicros(),
                untilMicros);
    }
}
