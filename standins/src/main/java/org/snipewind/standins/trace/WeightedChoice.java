package org.snipewind.standins.trace;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;
import java.util.random.RandomGenerator;

/** Draws indexes in proportion to their weights. */
final class WeightedChoice {

    private final double[] cumulative;

    WeightedChoice(int count, IntToDoubleFunction weight) {
        cumulative = new double[count];
        double sum = 0;
        for (int index = 0; index < count; index++) {
            sum += weight.applyAsDouble(index);
            cumulative[index] = sum;
        }
    }

    int draw(RandomGenerator random) {
        int found = Arrays.binarySearch(cumulative, random.nextDouble() * cumulative[cumulative.length - 1]);
        return Math.min(cumulative.length - 1, found >= 0 ? found + 1 : -found - 1);
    }
}
