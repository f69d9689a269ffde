package org.snipewind.standins.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.snipewind.command.replay.TraceRequest;

/** Generates traces with Poisson arrivals by organisation, skewed keys and skewed service times. */
public final class TraceGenerator {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long SHORTEST_SERVICE_MILLIS = 1;
    // Keeps one drawn service time from occupying a slot for longer than any route's deadline.
    private static final double LONGEST_SERVICE_IN_MEANS = 6;

    private TraceGenerator() {}

    /**
     * Generates a trace.
     *
     * @param shape loads and duration
     * @param seed seed of all random choices; the same shape and seed give the same trace
     * @return the requests in the order of their times
     */
    public static List<TraceRequest> generate(TraceShape shape, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WeightedChoice entries = new WeightedChoice(shape.entries(), index -> Math.pow(shape.entryFallOff(), index));
        WeightedChoice routes = new WeightedChoice(
                shape.routes().size(), index -> shape.routes().get(index).share());
        List<WeightedChoice> keys = shape.routes().stream()
                .map(route -> new WeightedChoice(route.keys(), index -> 1.0 / (index + 1)))
                .toList();
        List<TraceRequest> requests = new ArrayList<>();
        for (OrganisationLoad organisation : shape.organisations()) {
            // A generator for each organisation keeps its requests the same when the rate of another one changes.
            SplittableRandom own = random.split();
            double meanGap = MILLIS_PER_SECOND / organisation.requestsPerSecond();
            for (double time = own.nextExponential() * meanGap;
                    time < shape.durationMillis();
                    time += own.nextExponential() * meanGap) {
                int index = routes.draw(own);
                String key = "key-" + keys.get(index).draw(own);
                requests.add(
                        request((long) time, organisation, shape.routes().get(index), key, entries.draw(own), own));
            }
        }
        requests.sort(Comparator.comparingLong(TraceRequest::timeMillis));
        return requests;
    }

    private static TraceRequest request(
            long time, OrganisationLoad organisation, RouteLoad route, String key, int entry, RandomGenerator random) {
        double drawn = Math.min(random.nextExponential(), LONGEST_SERVICE_IN_MEANS);
        return new TraceRequest(
                time,
                organisation.name(),
                route.path(),
                key,
                entry,
                SHORTEST_SERVICE_MILLIS + Math.round(drawn * route.meanServiceMillis()),
                random.nextDouble() >= route.writeShare(),
                route.urgent(),
                route.deadlineMillis());
    }
}
