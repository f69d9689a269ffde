package org.snipewind.coordination.admission;

/**
 * How many requests a target may run at a time, from its cold start up to its slots.
 *
 * <p>The class is not thread-safe: the caller guards it by the lock of its target.
 */
public final class ConcurrencyRamp {

    private static final int SLOW_FACTOR = 3;
    private static final int SLOW_ANSWERS = 3;

    /** Answers needed before the usual latency is known well enough to call an answer slow. */
    private static final int LEARNING_ANSWERS = 10;

    /** Weight of one answer in the usual latency; about the last 50 answers count. */
    private static final double ANSWER_WEIGHT = 0.02;

    private int slots;
    private int coldConcurrency;
    private int answersPerStep;
    private int limit;
    private int goodAnswers;
    private int slowAnswers;
    private int learned;
    private double usualMicros;
    private String incarnation = "";

    /**
     * Creates the ramp of a target in cold start.
     *
     * @param slots requests that a warm target runs at a time, at least 1
     * @param coldConcurrency requests that a cold target bears at a time, at least 1
     * @param answersPerStep good answers after which it bears one more, at least 1
     */
    public ConcurrencyRamp(int slots, int coldConcurrency, int answersPerStep) {
        configure(slots, coldConcurrency, answersPerStep);
        restart();
    }

    /**
     * Tells how many requests may be in flight now.
     *
     * @return a number from 1 to the slots
     */
    public int limit() {
        return limit;
    }

    /**
     * Counts an answer; at normal latency it warms the target, and three consecutive slow ones mean a cold start.
     *
     * @param latencyMicros time from sending to the whole answer in microseconds
     */
    public void onSuccess(long latencyMicros) {
        if (learned >= LEARNING_ANSWERS && latencyMicros >= SLOW_FACTOR * usualMicros) {
            slowAnswers++;
            if (slowAnswers >= SLOW_ANSWERS) {
                learnSlowAnswers();
                restart();
            }
            return;
        }
        learn((double) latencyMicros);
        slowAnswers = 0;
        goodAnswers++;
        if (goodAnswers >= answersPerStep) {
            goodAnswers = 0;
            limit = Math.min(slots, limit + 1);
        }
    }

    /** Notes that the target shed a request, which means a cold start. */
    public void onShed() {
        restart();
    }

    /** Notes that a connection to the target failed, which means a cold start. */
    public void onConnectionFailure() {
        restart();
    }

    /**
     * Notes the incarnation that the target reports; a change means a cold start.
     *
     * @param reported the incarnation, not empty
     */
    public void onIncarnation(String reported) {
        if (!incarnation.isEmpty() && !incarnation.equals(reported)) {
            restart();
        }
        incarnation = reported;
    }

    /**
     * Changes the settings; the limit stays where they allow it.
     *
     * @param newSlots requests that a warm target runs at a time, at least 1
     * @param newColdConcurrency requests that a cold target bears at a time, at least 1
     * @param newAnswersPerStep good answers after which it bears one more, at least 1
     */
    public void configure(int newSlots, int newColdConcurrency, int newAnswersPerStep) {
        if (newSlots < 1 || newColdConcurrency < 1 || newAnswersPerStep < 1) {
            throw new IllegalArgumentException("slots, cold concurrency and answers per step must be at least 1");
        }
        slots = newSlots;
        coldConcurrency = Math.min(newColdConcurrency, newSlots);
        answersPerStep = newAnswersPerStep;
        limit = Math.max(coldConcurrency, Math.min(limit, slots));
    }

    private void restart() {
        limit = coldConcurrency;
        goodAnswers = 0;
        slowAnswers = 0;
    }

    private void learn(double latencyMicros) {
        learned = Math.min(learned + 1, LEARNING_ANSWERS);
        double weight = learned < LEARNING_ANSWERS ? 1.0 / learned : ANSWER_WEIGHT;
        usualMicros += weight * (latencyMicros - usualMicros);
    }

    private void learnSlowAnswers() {
        // Slow answers count with the slow factor and only after the third: the usual latency follows a lasting rise,
        // so the target does not stay cold for ever, and it stays put while slow answers are compared with it.
        double counted = SLOW_FACTOR * usualMicros;
        for (int answers = 0; answers < SLOW_ANSWERS; answers++) {
            learn(counted);
        }
    }
}
