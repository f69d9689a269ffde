package org.snipewind.standins.trace;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;
import java.util.random.RandomGenerator;

/** Draws random indexes with probabilities in proportion to their weights. */
final class WeightedChoice {

    private final double[] cumulativeWeights;

    WeightedChoice(int count, IntToDoubleFunction weight) {
        cumulativeWeights = new double[count];
        double sum = 0;
        for (int index = 0; index < count; index++) {
            sum += weight.applyAsDouble(index);
            cumulativeWeights[index] = sum;
        }
    }

    int draw(RandomGenerator random) {
        int position = Arrays.binarySearch(
                cumulativeWeights, random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1]);
        return Math.min(cumulativeWeights.length - 1, position >= 0 ? position + 1 : -position - 1);
    }
}
