package org.snipewind.coordination.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;

/**
 * Simulates three data centres with instances of the router that select targets, and targets with slots and queues. All
 * times are simulated and all random numbers are seeded.
 */
final class SimulatedDataCentres {

    static final int DATA_CENTRES = 3;
    static final double OBJECTIVE_MILLIS = 600;
    static final double DEADLINE_MILLIS = 1_500;
    static final double SERVICE_MILLIS = 140;
    static final int TARGETS_PER_DATA_CENTRE = 6;
    static final int SLOTS = 3;

    /** Requests per second that the targets of one data centre serve. */
    static final double CAPACITY_PER_SECOND = TARGETS_PER_DATA_CENTRE * SLOTS * 1_000 / SERVICE_MILLIS;

    private static final int INSTANCES_PER_DATA_CENTRE = 4;
    private static final int MAX_QUEUED = 12;
    private static final double MAX_QUEUED_PER_SLOT = 2.5;
    private static final long SLOW_PERIOD_MILLIS = 400;
    private static final double SLOW_SHARE = 0.2;
    private static final double SLOW_FACTOR = 3;
    private static final long ONE_WAY_MILLIS = 2;

    /** Requests per second that arrive at the instances of a data centre. */
    @FunctionalInterface
    interface ArrivalRate {
        double perSecond(int dataCentre, long nowMillis);
    }

    private record Event(long atMillis, long order, Runnable action) {}

    /** A target with its queue. */
    private final class SimulatedTarget {
        private final TargetRegistration registration;
        private final double speed;
        private final Queue<Runnable> waiting = new ArrayDeque<>();
        private int running;

        SimulatedTarget(TargetRegistration registration, double speed) {
            this.registration = registration;
            this.speed = speed;
        }

        /** Starts a request, queues it or returns false. */
        boolean accept(Runnable onCompleted) {
            if (running < SLOTS) {
                running++;
                run(onCompleted);
                return true;
            }
            return waiting.size() < MAX_QUEUED && waiting.add(onCompleted);
        }

        private void run(Runnable onCompleted) {
            double spread = 0.5 + random.nextDouble();
            long millis = Math.max(1, Math.round(SERVICE_MILLIS / speed * spread * slowdown()));
            at(nowMillis + millis, () -> {
                Optional.ofNullable(waiting.poll()).ifPresentOrElse(this::run, () -> running--);
                onCompleted.run();
            });
        }

        private double slowdown() {
            long period = nowMillis / SLOW_PERIOD_MILLIS;
            boolean slow = new Random(registration.id().hashCode() * 31L + period * 7_919).nextDouble() < SLOW_SHARE;
            return slow ? SLOW_FACTOR : 1;
        }

        LoadReport report() {
            return new LoadReport(running, waiting.size(), SLOTS, slowdown());
        }
    }

    /** An instance with what it knows of the targets. */
    private final class Instance {
        private final int dataCentre;
        private final List<TargetState> states;
        private final DataCentreSelector selector;

        Instance(int dataCentre, double linkMegabits) {
            this.dataCentre = dataCentre;
            this.states = targets.stream()
                    .map(target -> new TargetState(target.registration, nowMillis))
                    .toList();
            this.selector = new DataCentreSelector(name(dataCentre), linkMegabits, random::nextDouble);
        }

        void serve(long arrivedMillis, Set<TargetState> tried) {
            double left = OBJECTIVE_MILLIS - (nowMillis - arrivedMillis);
            SpilloverRequest request = new SpilloverRequest(
                    "pool", "route", left, DEADLINE_MILLIS - OBJECTIVE_MILLIS + left, largeBodies, !tried.isEmpty());
            Candidates candidates = new Candidates(
                    states,
                    state -> !tried.contains(state)
                            && state.hasRoom(nowMillis, left * 0.8, MAX_QUEUED_PER_SLOT, instances.size()),
                    state -> true);
            Optional<Selection> selection = selector.choose(request, candidates, nowMillis);
            if (selection.isEmpty()) {
                refused++;
                return;
            }
            selection.get().spillover().ifPresent(reason -> spillovers.merge(reason, 1, Integer::sum));
            boolean remote =
                    !selection.get().target().registration().dataCentre().equals(name(dataCentre));
            recordPlace(remote);
            send(selection.get().target(), remote ? ONE_WAY_MILLIS : 0, arrivedMillis, tried);
        }

        private void send(TargetState state, long oneWayMillis, long arrivedMillis, Set<TargetState> tried) {
            SimulatedTarget target = targets.get(states.indexOf(state));
            long sentMillis = nowMillis;
            state.onRequestSent(sentMillis);
            at(nowMillis + oneWayMillis, () -> {
                Runnable onCompleted = () -> {
                    LoadReport report = target.report();
                    at(nowMillis + oneWayMillis, () -> {
                        state.onLoadReport(report, nowMillis);
                        state.onRequestEnded();
                        state.onResponse(nowMillis - sentMillis, nowMillis);
                        recordResponse(nowMillis - arrivedMillis);
                    });
                };
                if (!target.accept(onCompleted)) {
                    LoadReport report = target.report();
                    at(nowMillis + oneWayMillis, () -> {
                        state.onLoadReport(report, nowMillis);
                        state.onRequestEnded();
                        state.onErrorResponse(nowMillis);
                        rejected++;
                        Set<TargetState> triedNow = new HashSet<>(tried);
                        triedNow.add(state);
                        if (triedNow.size() < 2) {
                            serve(arrivedMillis, triedNow);
                        } else {
                            refused++;
                        }
                    });
                }
            });
        }
    }

    private final Random random;
    private final boolean largeBodies;
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Map<SpilloverReason, Integer> spillovers = new EnumMap<>(SpilloverReason.class);
    private final Map<Long, int[]> placesBySecond = new TreeMap<>();
    private long nowMillis = 10_000;
    private long nextOrder;
    private int inTime;
    private int late;
    private int refused;
    private int rejected;

    /**
     * Creates the data centres.
     *
     * @param seed seed of all random numbers
     * @param linkMegabits bandwidth of the instances' links
     * @param largeBodies whether all requests have large bodies
     * @param speedAt speed of a target from its place among the targets, a number from 0 to 1
     */
    SimulatedDataCentres(long seed, double linkMegabits, boolean largeBodies, DoubleUnaryOperator speedAt) {
        this.random = new Random(seed);
        this.largeBodies = largeBodies;
        for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
            for (int index = 0; index < TARGETS_PER_DATA_CENTRE; index++) {
                String id = name(dataCentre) + "-t" + index;
                targets.add(new SimulatedTarget(
                        new TargetRegistration(id, 1, 1, "pool", "127.0.0.1", 1, name(dataCentre), SLOTS, false, 0),
                        speedAt.applyAsDouble((double) index / (TARGETS_PER_DATA_CENTRE - 1))));
            }
        }
        for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
            for (int index = 0; index < INSTANCES_PER_DATA_CENTRE; index++) {
                instances.add(new Instance(dataCentre, linkMegabits));
            }
        }
    }

    /** Has requests arrive for a time, and waits for the last responses. */
    void run(ArrivalRate rate, long durationMillis) {
        long endMillis = nowMillis + durationMillis;
        for (Instance instance : instances) {
            scheduleArrival(instance, rate, endMillis);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
    }

    private void scheduleArrival(Instance instance, ArrivalRate rate, long endMillis) {
        double perMilli =
                Math.max(1e-6, rate.perSecond(instance.dataCentre, nowMillis)) / INSTANCES_PER_DATA_CENTRE / 1_000;
        long gapMillis = Math.round(-Math.log(1 - random.nextDouble()) / perMilli);
        if (nowMillis + gapMillis < endMillis) {
            at(nowMillis + gapMillis, () -> {
                instance.serve(nowMillis, Set.of());
                scheduleArrival(instance, rate, endMillis);
            });
        }
    }

    /** Returns the share of the requests that were sent to another data centre. */
    double remoteShare() {
        int local =
                placesBySecond.values().stream().mapToInt(counts -> counts[0]).sum();
        int remote =
                placesBySecond.values().stream().mapToInt(counts -> counts[1]).sum();
        return (double) remote / Math.max(1, local + remote);
    }

    /** Returns the shares of the requests that were sent to another data centre, by second. */
    List<Double> remoteShares() {
        return placesBySecond.values().stream()
                .map(counts -> (double) counts[1] / (counts[0] + counts[1]))
                .toList();
    }

    /** Returns the share of the requests that were answered within the objective. */
    double inTimeShare() {
        return (double) inTime / Math.max(1, inTime + late + refused);
    }

    int spillovers(SpilloverReason reason) {
        return spillovers.getOrDefault(reason, 0);
    }

    static String name(int dataCentre) {
        return "dc-" + dataCentre;
    }

    /** Returns a short description of the results, for messages of assertions. */
    String describe() {
        return "inTime=" + inTime + " late=" + late + " refused=" + refused + " rejected=" + rejected + " remote="
                + Math.round(remoteShare() * 1_000) / 10.0 + "% " + spillovers;
    }

    private void recordPlace(boolean remote) {
        placesBySecond.computeIfAbsent(nowMillis / 1_000, second -> new int[2])[remote ? 1 : 0]++;
    }

    private void recordResponse(long millis) {
        if (millis <= OBJECTIVE_MILLIS) {
            inTime++;
        } else {
            late++;
        }
    }

    private void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, nextOrder++, action));
    }

    /** Returns the seeds with which each load is simulated. */
    static IntStream seeds() {
        return IntStream.rangeClosed(1, 3);
    }
}
