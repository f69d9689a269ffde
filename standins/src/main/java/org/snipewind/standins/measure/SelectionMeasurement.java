package org.snipewind.standins.measure;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.snipewind.coordination.target.LeastResponseTimeSelector;
import org.snipewind.coordination.target.ObservationExchange;
import org.snipewind.coordination.target.ObservedLoad;
import org.snipewind.coordination.target.TargetObservation;
import org.snipewind.coordination.target.TargetRegistration;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.MessageCodec;
import org.snipewind.protocol.ObservationAnswer;
import org.snipewind.protocol.ObservationDelta;

/**
 * Measures the selection of a target with shared observations, and the exchange of observations in a data centre with
 * 25 instances. Needs no processes.
 */
final class SelectionMeasurement implements Measurement {

    private static final int[] TARGET_COUNTS = {60, 120};
    private static final int INSTANCES = 25;
    private static final int OBSERVATIONS_PER_EXCHANGE = 5;
    private static final int TARGETS_IN_EXCHANGE = 200;
    private static final int EXCHANGES_PER_SECOND = 4;
    private static final long EXCHANGE_INTERVAL_MILLIS = 250;
    private static final int WARM_UP_DECISIONS = 40_000;
    private static final int DECISIONS = 40_000;
    private static final int WARM_UP_SECONDS = 100;
    private static final int MEASURED_SECONDS = 100;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MAX_DECISION_MICROS = 20;
    private static final long NOW = 100_000;

    @Override
    public String name() {
        return "selection";
    }

    @Override
    public List<MeasurementResult> run(MeasurementOptions options) {
        List<MeasurementResult> results = new ArrayList<>();
        for (int count : TARGET_COUNTS) {
            String variant = count == TARGET_COUNTS[0] ? MeasurementResult.BASELINE : count + "-targets";
            measureDecisions(results, options, variant, count);
        }
        measureExchange(results, options);
        return results;
    }

    private static void measureDecisions(
            List<MeasurementResult> results, MeasurementOptions options, String variant, int count) {
        Random random = new Random(options.seed());
        List<TargetState> targets = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            TargetState state = new TargetState(
                    new TargetRegistration("t" + number, 1, 1, "p", "127.0.0.1", 1, "dc", 3, false, 0), NOW);
            state.onObservation(observation(state.incarnation(), random), NOW);
            targets.add(state);
        }
        LeastResponseTimeSelector selector = new LeastResponseTimeSelector("dc", 1.3, 5, random::nextDouble);
        decide(selector, targets, WARM_UP_DECISIONS);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytesBefore = threads.getCurrentThreadAllocatedBytes();
        // Processor time, since other work on the machine lengthens the time by the clock.
        long started = threads.getCurrentThreadCpuTime();
        decide(selector, targets, DECISIONS);
        double micros = (threads.getCurrentThreadCpuTime() - started) / NANOS_PER_MICRO / DECISIONS;
        double bytes = (threads.getCurrentThreadAllocatedBytes() - bytesBefore) / (double) DECISIONS;
        results.add(new MeasurementResult(
                "selection",
                options.deployment(),
                variant,
                "processor time per decision, us",
                micros,
                Optional.of(MAX_DECISION_MICROS),
                Optional.of(micros <= MAX_DECISION_MICROS)));
        add(results, options, variant, "allocated per decision, bytes", bytes);
    }

    private static void decide(LeastResponseTimeSelector selector, List<TargetState> targets, int decisions) {
        for (int decision = 0; decision < decisions; decision++) {
            if (selector.choose(targets, NOW, target -> target.hasRoom(NOW, 600, 2.5, 74), target -> false)
                    .isEmpty()) {
                throw new IllegalStateException("no target was selected");
            }
        }
    }

    /** Measures the work of the relay and of one other instance, with the coding of the messages. */
    private static void measureExchange(List<MeasurementResult> results, MeasurementOptions options) {
        Random random = new Random(options.seed());
        ObservationExchange exchange = new ObservationExchange();
        long[] sequences = new long[INSTANCES];
        long[] nanos = new long[2];
        long bytes = 0;
        for (int second = 0; second < WARM_UP_SECONDS + MEASURED_SECONDS; second++) {
            if (second == WARM_UP_SECONDS) {
                nanos = new long[2];
                bytes = 0;
            }
            for (int round = 0; round < EXCHANGES_PER_SECOND; round++) {
                long now = NOW + (second * (long) EXCHANGES_PER_SECOND + round) * EXCHANGE_INTERVAL_MILLIS;
                for (int instance = 0; instance < INSTANCES; instance++) {
                    bytes += exchangeOnce(exchange, instance, sequences, now, random, nanos);
                }
            }
        }
        add(
                results,
                options,
                "exchange",
                "relay, ms of processor time per s",
                nanos[0] / NANOS_PER_MILLI / MEASURED_SECONDS);
        add(
                results,
                options,
                "exchange",
                "other instance, ms of processor time per s",
                nanos[1] / NANOS_PER_MILLI / MEASURED_SECONDS / INSTANCES);
        add(
                results,
                options,
                "exchange",
                "answers to one instance, bytes per s",
                bytes / (double) MEASURED_SECONDS / INSTANCES);
    }

    private static long exchangeOnce(
            ObservationExchange exchange, int instance, long[] sequences, long now, Random random, long[] nanos) {
        List<TargetObservation> own = new ArrayList<>();
        for (int index = 0; index < OBSERVATIONS_PER_EXCHANGE; index++) {
            own.add(observation("target-" + random.nextInt(TARGETS_IN_EXCHANGE) + "@1733482000000", random));
        }
        long started = System.nanoTime();
        byte[] request = MessageCodec.encode(new ObservationDelta(sequences[instance], own));
        long sent = System.nanoTime();
        ObservationDelta delta = (ObservationDelta) MessageCodec.decode(request);
        ObservationExchange.Result result =
                exchange.exchange("entry-" + instance, delta.knownSequence(), delta.observations(), now);
        byte[] response = MessageCodec.encode(new ObservationAnswer(result.sequence(), result.observations()));
        long answered = System.nanoTime();
        ObservationAnswer answer = (ObservationAnswer) MessageCodec.decode(response);
        sequences[instance] = answer.sequence();
        nanos[0] += answered - sent;
        nanos[1] += System.nanoTime() - answered + sent - started;
        return response.length;
    }

    private static TargetObservation observation(String incarnation, Random random) {
        ObservedLoad load = new ObservedLoad(random.nextInt(250), random.nextInt(3), random.nextInt(2), 3, 100);
        return new TargetObservation(
                TargetObservation.numberOf(incarnation), 1, 1_000 + random.nextInt(3_000), 0, Optional.of(load));
    }

    private static void add(
            List<MeasurementResult> results, MeasurementOptions options, String variant, String unit, double value) {
        results.add(MeasurementResult.of("selection", options.deployment(), variant, unit, value));
    }
}
