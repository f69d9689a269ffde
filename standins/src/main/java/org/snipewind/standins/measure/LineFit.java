package org.snipewind.standins.measure;

import java.util.List;

/**
 * A straight line fitted by the method of least squares.
 *
 * @param slope change for each unit of x
 * @param intercept value at 0
 * @param rootMeanSquareError root mean square of the residuals
 */
record LineFit(double slope, double intercept, double rootMeanSquareError) {

    static LineFit of(List<Double> xs, List<Double> ys) {
        int count = xs.size();
        double meanX = xs.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
        double meanY = ys.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
        double products = 0;
        double squares = 0;
        for (int index = 0; index < count; index++) {
            products += (xs.get(index) - meanX) * (ys.get(index) - meanY);
            squares += (xs.get(index) - meanX) * (xs.get(index) - meanX);
        }
        double slope = products / squares;
        double intercept = meanY - slope * meanX;
        double residuals = 0;
        for (int index = 0; index < count; index++) {
            double residual = ys.get(index) - slope * xs.get(index) - intercept;
            residuals += residual * residual;
        }
        return new LineFit(slope, intercept, Math.sqrt(residuals / count));
    }
}
