package org.snipewind.router;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.metrics.PrometheusText;
import org.snipewind.router.state.FleetTracker;
import org.snipewind.router.state.PoolRollout;

/** The pages of an instance for operators: its metrics, and the roll-outs as it knows them. */
final class InternalPages {

    private static final String ROLLOUTS_PATH = "/rollouts";
    private static final int OK = 200;

    private final ProcessMetrics metrics;
    private final FleetTracker tracker;
    private final MillisClock clock;

    InternalPages(ProcessMetrics metrics, FleetTracker tracker, MillisClock clock) {
        this.metrics = metrics;
        this.tracker = tracker;
        this.clock = clock;
    }

    TextServer.Page page(String uri) {
        String text = uri.equals(ROLLOUTS_PATH)
                ? describe(tracker.view().rollouts())
                : PrometheusText.write(metrics.registry());
        return new TextServer.Page(OK, text);
    }

    /** Returns one line for each pool that has an order or had a roll-out. */
    private String describe(Map<String, PoolRollout> rollouts) {
        return new TreeMap<>(rollouts)
                .entrySet().stream()
                        .map(entry -> describe(entry.getKey(), entry.getValue()) + "\n")
                        .collect(Collectors.joining());
    }

    private String describe(String pool, PoolRollout rollout) {
        String order = rollout.order()
                .map(each -> each.version() + " within " + each.durationMillis() + "ms")
                .orElse("none");
        String record = rollout.record()
                .map(each -> " version=" + each.version() + " phase=" + each.phase() + " share=" + each.share()
                        + " retired=" + each.retired() + " rejected=" + each.rejected()
                        + (each.phase().isInProgress()
                                ? " elapsed=" + rollout.elapsedMillis(clock.nowMillis()) + "ms"
                                : ""))
                .orElse(" phase=none");
        return "pool=" + pool + " order=" + order + record;
    }
}
