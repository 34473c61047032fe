package org.arbutusstack.bench.report;

import java.util.List;

/**
 * Holds the line that fits measured points best by least squares.
 *
 * @param intercept the value at zero
 * @param slope the growth of the value with each unit
 */
public record LinearFit(double intercept, double slope) {

    /**
     * Fits a line.
     *
     * @param xs the positions, two different ones at the least
     * @param ys the values, one for each position
     * @return the line
     */
    public static LinearFit of(List<Double> xs, List<Double> ys) {
        if (xs.size() != ys.size() || xs.stream().distinct().count() < 2) {
            throw new IllegalArgumentException("'xs' must hold two different positions and as many as 'ys'");
        }
        double meanX = mean(xs);
        double meanY = mean(ys);
        double products = 0;
        double squares = 0;
        for (int index = 0; index < xs.size(); index++) {
            double distance = xs.get(index) - meanX;
            products += distance * (ys.get(index) - meanY);
            squares += distance * distance;
        }
        double slope = products / squares;
        return new LinearFit(meanY - slope * meanX, slope);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }

    /**
     * Reads the line at a position.
     *
     * @param position the position
     * @return the value there
     */
    public double at(double position) {
        return intercept + slope * position;
    }
}
