package org.snipewind.coordination.admission;

/**
 * The concurrency limit of one target, which rises from a low value after a cold start to the target's slots.
 *
 * <p>The class is not thread-safe: the caller guards it by the lock of its target.
 */
public final class ConcurrencyRamp {

    private static final int SLOW_FACTOR = 3;
    private static final int SLOW_RESPONSES_BEFORE_RESTART = 3;

    /** Responses needed before the baseline latency is accurate enough to classify a response as slow. */
    private static final int MIN_BASELINE_RESPONSES = 10;

    /** Weight of one response in the moving average; it covers about the last 50 responses. */
    private static final double BASELINE_WEIGHT = 0.02;

    private int slots;
    private int coldConcurrency;
    private int responsesPerStep;
    private int limit;
    private int successfulResponses;
    private int slowResponses;
    private int baselineResponses;
    private double baselineMicros;
    private String incarnation = "";

    /**
     * Creates the ramp of a target in cold start.
     *
     * @param slots concurrency limit after the cold start, at least 1
     * @param coldConcurrency concurrency limit at the start of a cold start, at least 1
     * @param responsesPerStep successful responses after which the limit rises by one, at least 1
     */
    public ConcurrencyRamp(int slots, int coldConcurrency, int responsesPerStep) {
        configure(slots, coldConcurrency, responsesPerStep);
        restart();
    }

    /**
     * Returns the present concurrency limit.
     *
     * @return maximum number of requests in flight, from 1 to the slots
     */
    public int limit() {
        return limit;
    }

    /**
     * Records a successful response. Responses at normal latency raise the limit; three consecutive slow ones indicate
     * a cold start.
     *
     * @param latencyMicros time from sending the request to the complete response in microseconds
     */
    public void onSuccess(long latencyMicros) {
        if (baselineResponses >= MIN_BASELINE_RESPONSES && latencyMicros >= SLOW_FACTOR * baselineMicros) {
            slowResponses++;
            if (slowResponses >= SLOW_RESPONSES_BEFORE_RESTART) {
                raiseBaseline();
                restart();
            }
            return;
        }
        updateBaseline((double) latencyMicros);
        slowResponses = 0;
        successfulResponses++;
        if (successfulResponses >= responsesPerStep) {
            successfulResponses = 0;
            limit = Math.min(slots, limit + 1);
        }
    }

    /** Records that the target shed a request, which indicates a cold start. */
    public void onShed() {
        restart();
    }

    /** Records that a connection to the target failed, which indicates a cold start. */
    public void onConnectionFailure() {
        restart();
    }

    /**
     * Records the incarnation that the target reports; a change indicates a cold start.
     *
     * @param reportedIncarnation the incarnation, not empty
     */
    public void onIncarnation(String reportedIncarnation) {
        if (!incarnation.isEmpty() && !incarnation.equals(reportedIncarnation)) {
            restart();
        }
        incarnation = reportedIncarnation;
    }

    /**
     * Changes the settings; the present limit changes only if it lies outside the new range.
     *
     * @param newSlots concurrency limit after the cold start, at least 1
     * @param newColdConcurrency concurrency limit at the start of a cold start, at least 1
     * @param newResponsesPerStep successful responses after which the limit rises by one, at least 1
     * @throws IllegalArgumentException if a value is less than 1
     */
    public void configure(int newSlots, int newColdConcurrency, int newResponsesPerStep) {
        if (newSlots < 1 || newColdConcurrency < 1 || newResponsesPerStep < 1) {
            throw new IllegalArgumentException("slots, cold concurrency and responses per step must be at least 1");
        }
        slots = newSlots;
        coldConcurrency = Math.min(newColdConcurrency, newSlots);
        responsesPerStep = newResponsesPerStep;
        limit = Math.max(coldConcurrency, Math.min(limit, slots));
    }

    private void restart() {
        limit = coldConcurrency;
        successfulResponses = 0;
        slowResponses = 0;
    }

    private void updateBaseline(double latencyMicros) {
        baselineResponses = Math.min(baselineResponses + 1, MIN_BASELINE_RESPONSES);
        double weight = baselineResponses < MIN_BASELINE_RESPONSES ? 1.0 / baselineResponses : BASELINE_WEIGHT;
        baselineMicros += weight * (latencyMicros - baselineMicros);
    }

    private void raiseBaseline() {
        // The baseline follows a lasting rise of the latency, or else the target would stay in cold start for ever.
        // Slow responses count as the baseline times the slow factor, and only after the third one, so that the
        // baseline does not move while responses are compared with it.
        double cappedMicros = SLOW_FACTOR * baselineMicros;
        for (int responses = 0; responses < SLOW_RESPONSES_BEFORE_RESTART; responses++) {
            updateBaseline(cappedMicros);
        }
    }
}
