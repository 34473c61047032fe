package org.arbutusstack.bench.report;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param intercept the value at zero
 * @param slope the growth of the value per unit
 */
public record LinearFit(double intercept, double slope) {

    /**
     * Fit a line to points.
     *
     * @param xs the positions, at least two of which differ
     * @param ys the values, one per position
     * @return the line
     */
    public static LinearFit of(List<Double> xs, List<Double> ys) {
        if (xs.size() != ys.size() || xs.stream().distinct().count() < 2) {
            throw new IllegalArgumentException("'xs' must contain two different positions and be as long as 'ys'");
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
     * Return the value of the line at a position.
     *
     * @param position the position
     * @return the value there
     */
    public double at(double position) {
        return intercept + slope * position;
    }
}
