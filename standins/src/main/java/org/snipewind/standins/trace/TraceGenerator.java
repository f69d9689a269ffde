package org.snipewind.standins.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.snipewind.command.replay.TraceRequest;

/** Generates traces with Poisson arrivals for each organisation, Zipf-distributed keys and skewed service times. */
public final class TraceGenerator {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MIN_SERVICE_MILLIS = 1;
    // Without this limit, a single long service time could occupy a slot for longer than any route's deadline.
    private static final double MAX_SERVICE_IN_MEANS = 6;

    private TraceGenerator() {}

    /**
     * Generates a trace.
     *
     * @param shape loads and duration
     * @param seed seed of all random choices; the same shape and seed give the same trace
     * @return the requests in order of their arrival times
     */
    public static List<TraceRequest> generate(TraceShape shape, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WeightedChoice entryChoice =
                new WeightedChoice(shape.entryInstances(), index -> Math.pow(shape.entryLoadRatio(), index));
        WeightedChoice routeChoice = new WeightedChoice(
                shape.routes().size(), index -> shape.routes().get(index).weight());
        List<WeightedChoice> keyChoices = shape.routes().stream()
                .map(route -> new WeightedChoice(route.keys(), index -> 1.0 / (index + 1)))
                .toList();
        List<TraceRequest> requests = new ArrayList<>();
        for (OrganisationLoad organisation : shape.organisations()) {
            // Each organisation has its own generator, so that its requests do not depend on the rates of the others.
            SplittableRandom organisationRandom = random.split();
            double meanIntervalMillis = MILLIS_PER_SECOND / organisation.requestsPerSecond();
            for (double arrivalMillis = organisationRandom.nextExponential() * meanIntervalMillis;
                    arrivalMillis < shape.durationMillis();
                    arrivalMillis += organisationRandom.nextExponential() * meanIntervalMillis) {
                int index = routeChoice.draw(organisationRandom);
                String key = "key-" + keyChoices.get(index).draw(organisationRandom);
                requests.add(request(
                        (long) arrivalMillis,
                        organisation,
                        shape.routes().get(index),
                        key,
                        entryChoice.draw(organisationRandom),
                        organisationRandom));
            }
        }
        requests.sort(Comparator.comparingLong(TraceRequest::timeMillis));
        return requests;
    }

    private static TraceRequest request(
            long arrivalMillis,
            OrganisationLoad organisation,
            RouteLoad route,
            String key,
            int entryInstance,
            RandomGenerator random) {
        double serviceInMeans = Math.min(random.nextExponential(), MAX_SERVICE_IN_MEANS);
        return new TraceRequest(
                arrivalMillis,
                organisation.name(),
                route.path(),
                key,
                entryInstance,
                MIN_SERVICE_MILLIS + Math.round(serviceInMeans * route.meanServiceMillis()),
                random.nextDouble() >= route.nonIdempotentFraction(),
                route.urgent(),
                route.deadlineMillis());
    }
}
