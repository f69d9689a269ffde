package org.snipewind.coordination.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/** An undivided pool in one data centre, to which many instances send few requests each. */
final class SimulatedUndividedPool {

    private static final long EXCHANGE_INTERVAL_MILLIS = 250;
    private static final long SLOW_MOMENT_MILLIS = 400;
    private static final double SLOW_TARGETS = 0.2;
    private static final double SLOWDOWN = 3;
    private static final double QUEUED_PER_SLOT = 2.5;
    private static final int MAX_QUEUE = 12;
    private static final long IDLE_CONNECTION_MILLIS = 5_000;
    private static final int FLEET_SIZE = 74;

    private static final class Target {
        private final double speed;
        private final PriorityQueue<Double> ends = new PriorityQueue<>();
        private final double[] slotFreeAtMillis;
        private double slowdown = 1;

        Target(double speed, int slots) {
            this.speed = speed;
            this.slotFreeAtMillis = new double[slots];
        }

        LoadReport report() {
            int waiting = Math.max(0, ends.size() - slotFreeAtMillis.length);
            return new LoadReport(ends.size() - waiting, waiting, slotFreeAtMillis.length, slowdown);
        }
    }

    private record Response(double atMillis, int instance, int target, long sentMillis, boolean rejected) {}

    private final Random random;
    private final double serviceMillis;
    private final boolean shared;
    private final List<Target> targets = new ArrayList<>();
    private final List<List<TargetState>> states = new ArrayList<>();
    private final List<LeastResponseTimeSelector> selectors = new ArrayList<>();
    private final long[] knownSequences;
    private final ObservationExchange exchange = new ObservationExchange();
    private final PriorityQueue<Response> responses =
            new PriorityQueue<>(Comparator.comparingDouble(Response::atMillis));
    private long now = 100_000;
    private final Map<TargetState, Long> lastUsedMillis = new IdentityHashMap<>();
    private int opened;
    private int requests;
    private int late;
    private int refused;
    private int rejected;

    SimulatedUndividedPool(long seed, int instances, int targetCount, int slots, double serviceMillis, boolean shared) {
        this.random = new Random(seed);
        this.serviceMillis = serviceMillis;
        this.shared = shared;
        this.knownSequences = new long[instances];
        for (int index = 0; index < targetCount; index++) {
            targets.add(new Target(0.5 + 1.1 * index / (targetCount - 1), slots));
        }
        for (int instance = 0; instance < instances; instance++) {
            states.add(IntStream.range(0, targetCount)
                    .mapToObj(index -> new TargetState(
                            new TargetRegistration("t" + index, 1, 1, "p", "127.0.0.1", 1, "dc", slots, false, 0), now))
                    .toList());
            selectors.add(new LeastResponseTimeSelector("dc", 1.3, 5, random::nextDouble));
        }
    }

    void run(long millis, double requestsPerSecond, double objectiveMillis) {
        requests = 0;
        opened = 0;
        late = 0;
        refused = 0;
        rejected = 0;
        for (long end = now + millis; now < end; now++) {
            if (now % SLOW_MOMENT_MILLIS == 0) {
                targets.forEach(target -> target.slowdown = random.nextDouble() < SLOW_TARGETS ? SLOWDOWN : 1);
            }
            for (double wait = nextWait(requestsPerSecond); wait < 1; wait += nextWait(requestsPerSecond)) {
                request(random.nextInt(states.size()), objectiveMillis);
            }
            while (!responses.isEmpty() && responses.peek().atMillis() <= now) {
                respond(responses.poll(), objectiveMillis);
            }
            for (int instance = 0; shared && instance < states.size(); instance++) {
                if (now % EXCHANGE_INTERVAL_MILLIS == instance * EXCHANGE_INTERVAL_MILLIS / states.size()) {
                    exchangeObservations(instance);
                }
            }
        }
    }

    private double nextWait(double requestsPerSecond) {
        return -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
    }

    private void request(int instance, double objectiveMillis) {
        requests++;
        List<TargetState> own = states.get(instance);
        TargetState chosen = selectors
                .get(instance)
                .choose(
                        own,
                        now,
                        target -> target.hasRoom(now, objectiveMillis, QUEUED_PER_SLOT, FLEET_SIZE),
                        target -> isConnected(target))
                .orElse(null);
        if (chosen == null) {
            refused++;
            return;
        }
        opened += isConnected(chosen) ? 0 : 1;
        lastUsedMillis.put(chosen, now);
        chosen.onRequestSent(now);
        int index = own.indexOf(chosen);
        Target target = targets.get(index);
        target.ends.removeIf(end -> end <= now);
        if (target.ends.size() >= MAX_QUEUE + target.slotFreeAtMillis.length) {
            responses.add(new Response(now + 1, instance, index, now, true));
            return;
        }
        int slot = IntStream.range(0, target.slotFreeAtMillis.length)
                .boxed()
                .min(Comparator.comparingDouble(each -> target.slotFreeAtMillis[each]))
                .orElseThrow();
        double start = Math.max(now, target.slotFreeAtMillis[slot]);
        double end = start + serviceMillis / target.speed * target.slowdown * (0.5 + random.nextDouble());
        target.slotFreeAtMillis[slot] = end;
        target.ends.add(end);
        responses.add(new Response(end, instance, index, now, false));
    }

    private boolean isConnected(TargetState target) {
        return now - lastUsedMillis.getOrDefault(target, 0L) < IDLE_CONNECTION_MILLIS;
    }

    private void respond(Response response, double objectiveMillis) {
        TargetState state = states.get(response.instance()).get(response.target());
        Target target = targets.get(response.target());
        target.ends.removeIf(end -> end <= now);
        state.onLoadReport(target.report(), now);
        state.onRequestEnded();
        if (response.rejected()) {
            state.onErrorResponse(now);
            rejected++;
        } else {
            state.onResponse(now - response.sentMillis(), now);
            late += now - response.sentMillis() > objectiveMillis ? 1 : 0;
        }
    }

    private void exchangeObservations(int instance) {
        List<TargetState> own = states.get(instance);
        List<TargetObservation> observations = own.stream()
                .flatMap(state -> state.drainObservation(now).stream())
                .toList();
        ObservationExchange.Result result =
                exchange.exchange("i" + instance, knownSequences[instance], observations, now);
        knownSequences[instance] = result.sequence();
        for (TargetObservation observation : result.observations()) {
            own.stream()
                    .filter(state -> TargetObservation.numberOf(state.incarnation()) == observation.target())
                    .forEach(state -> state.onObservation(observation, now));
        }
    }

    /** Returns the part of the requests in the last run that were late, refused or rejected. */
    double failedFraction() {
        return (late + refused + rejected) / (double) requests;
    }

    /** Returns the part of the requests in the last run for which a connection was opened. */
    double openedFraction() {
        return opened / (double) requests;
    }

    /** Returns the part of the requests in the last run that a target rejected although another one had room. */
    double rejectedFraction() {
        return rejected / (double) requests;
    }
}
